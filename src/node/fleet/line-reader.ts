/** Cuts a stream of bytes into lines. */
import {StringDecoder} from 'node:string_decoder';

export class LineReader {
	private readonly _longest: number;
	private readonly _decoder = new StringDecoder();
	private _rest = '';

	/** `longest` = characters that a line may have. */
	constructor(longest: number) {
		this._longest = longest;
	}

	/** The lines that end in this chunk; undefined = one is too long, and nothing that follows can be read. */
	take(chunk: Uint8Array): readonly string[] | undefined {
		const lines = (this._rest + this._decoder.write(Buffer.from(chunk))).split('\n');
		this._rest = lines.pop()!;
		return this._rest.length > this._longest ? undefined : lines;
	}
}
