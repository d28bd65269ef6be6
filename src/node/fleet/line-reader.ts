/** Splits a stream of bytes into lines. */
import {StringDecoder} from 'node:string_decoder';

export class LineReader {
	private readonly _longest: number;
	private readonly _decoder = new StringDecoder();
	private _rest = '';

	/** `longest` = maximum length of an incomplete line, in characters. */
	constructor(longest: number) {
		this._longest = longest;
	}

	/** Returns the lines that end in this chunk; undefined = the incomplete line is too long, and the stream cannot be read further. */
	take(chunk: Uint8Array): readonly string[] | undefined {
		const lines = (this._rest + this._decoder.write(Buffer.from(chunk))).split('\n');
		this._rest = lines.pop()!;
		return this._rest.length > this._longest ? undefined : lines;
	}
}
