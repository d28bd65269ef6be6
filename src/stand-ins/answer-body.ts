/**
 * Deterministic response bodies, which a caller can verify byte by byte from the parameters of its call. Each 64 KiB block is
 * a slice of one table of random bytes at an offset that depends on the call, and begins with a stamp of call and block
 * number. So a missing, swapped or foreign block is detected, and generating 100 MB costs only one copy.
 */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Length of a block in bytes. */
export const blockBytes = 65_536;
const stampBytes = 4;
const tableSeed = 20_261;

function makeRandomTable(): Buffer {
	const table = Buffer.alloc(blockBytes * 2);
	const generator = xoroshiro128plus(tableSeed);
	for (let offset = 0; offset < blockBytes; offset += stampBytes) {
		table.writeInt32LE(generator.next(), offset);
	}

	table.copy(table, blockBytes, 0, blockBytes);
	return table;
}

const table = makeRandomTable();

/** Digest of a request body. The response depends on it, and so shows that the whole request body arrived. */
export function bodyDigest(body: Uint8Array): string {
	return body.length === 0 ? '' : crc32(body).toString(16);
}

function stampByte(stamp: number, index: number): number {
	return Math.floor(stamp / (256 ** index)) % 256;
}

/** Parameters that determine the bytes of a response body. */
export type BodyInputs = {
	readonly method: string;
	/** Path and query on the backend server. */
	readonly path: string;
	readonly callId: string;
	readonly requestDigest: string;
};

/** The response body of one call. */
export class AnswerBody {
	private readonly _hash: number;

	constructor(inputs: BodyInputs, readonly length: number) {
		this._hash = crc32(`${inputs.method} ${inputs.path} ${inputs.callId} ${inputs.requestDigest} ${length}`);
	}

	/** Strong validator for `ETag` and `If-Range`: equal for equal bytes. */
	get validator(): string {
		return `"${this._hash.toString(16)}-${this.length}"`;
	}

	/** Returns the bytes from `offset` to the end of its block or of the body. */
	chunk(offset: number): Buffer {
		const block = Math.floor(offset / blockBytes);
		const blockStart = block * blockBytes;
		const size = Math.min(blockBytes, this.length - blockStart);
		const tableOffset = this._hash % blockBytes;
		const bytes = Buffer.from(table.subarray(tableOffset, tableOffset + size));
		const stamp = this._stamp(block);
		for (let index = 0; index < Math.min(stampBytes, size); index++) {
			bytes[index] = stampByte(stamp, index);
		}

		return bytes.subarray(offset - blockStart);
	}

	/** Whether the body contains `bytes` at `offset`. Copies nothing, so that the check costs a caller little. */
	matches(bytes: Uint8Array, offset: number): boolean {
		if (offset + bytes.length > this.length) {
			return false;
		}

		let position = 0;
		while (position < bytes.length) {
			const offsetInBlock = (offset + position) % blockBytes;
			const size = Math.min(blockBytes - offsetInBlock, bytes.length - position);
			const block = Math.floor((offset + position) / blockBytes);
			if (!this._matchesInBlock(bytes.subarray(position, position + size), block, offsetInBlock)) {
				return false;
			}

			position += size;
		}

		return true;
	}

	private _matchesInBlock(bytes: Uint8Array, block: number, offsetInBlock: number): boolean {
		const stamp = this._stamp(block);
		let position = 0;
		while (offsetInBlock + position < stampBytes && position < bytes.length) {
			if (bytes[position] !== stampByte(stamp, offsetInBlock + position)) {
				return false;
			}

			position++;
		}

		const tableOffset = (this._hash % blockBytes) + offsetInBlock;
		return table.compare(bytes, position, bytes.length, tableOffset + position, tableOffset + bytes.length) === 0;
	}

	/** Blocks of one body differ only in the stamp, which repeats after 2^32 blocks (256 TiB). */
	private _stamp(block: number): number {
		return (this._hash + block) % (2 ** 32);
	}
}
