/** Splits a stream of bytes into lines. */
import {StringDecoder} from 'node:string_decoder';

export class LineReader {
	private readonly _maxCharacters: number;
	private readonly _decoder = new StringDecoder();
	private _incompleteLine = '';

	/** `longest` = maximum length of an incomplete line, in characters. */
	constructor(maxCharacters: number) {
		this._maxCharacters = maxCharacters;
	}

	/** Returns the lines that end in this chunk; undefined = the incomplete line is too long, and the stream cannot be read further. */
	read(chunk: Uint8Array): readonly string[] | undefined {
		const lines = (this._incompleteLine + this._decoder.write(Buffer.from(chunk))).split('\n');
		this._incompleteLine = lines.pop()!;
		return this._incompleteLine.length > this._maxCharacters ? undefined : lines;
	}
}
