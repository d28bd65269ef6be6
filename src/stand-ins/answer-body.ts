/**
 * Bodies that can be checked byte for byte by whoever knows the call. Every 64 KiB block of a body
 * is a cut from one table of random bytes at a place that depends on the call, and begins with a stamp
 * of call and block number: a missing, swapped or foreign block shows, and 100 MB cost one copy.
 */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Length of a block in bytes. */
export const blockBytes = 65_536;
const stampBytes = 4;
const tableSeed = 20_261;

function makeTable(): Buffer {
	const table = Buffer.alloc(blockBytes * 2);
	const generator = xoroshiro128plus(tableSeed);
	for (let offset = 0; offset < blockBytes; offset += stampBytes) {
		table.writeInt32LE(generator.next(), offset);
	}

	table.copy(table, blockBytes, 0, blockBytes);
	return table;
}

const table = makeTable();

/** Digest of a request body, so that an answer proves that the whole of it arrived. */
export function bodyDigest(body: Uint8Array): string {
	return body.length === 0 ? '' : crc32(body).toString(16);
}

/** What decides the bytes of an answer. */
export type BodyOrigin = {
	readonly method: string;
	/** Path and query on the backend server. */
	readonly path: string;
	readonly callId: string;
	readonly requestDigest: string;
};

/** The body of one call's answer. */
export class AnswerBody {
	private readonly _hash: number;

	constructor(origin: BodyOrigin, readonly length: number) {
		this._hash = crc32(`${origin.method} ${origin.path} ${origin.callId} ${origin.requestDigest} ${length}`);
	}

	/** Strong validator: equal for equal bytes. */
	get validator(): string {
		return `"${this._hash.toString(16)}-${this.length}"`;
	}

	/** The bytes from `offset` to the end of its block or of the body. */
	chunk(offset: number): Buffer {
		const block = Math.floor(offset / blockBytes);
		const start = offset - (block * blockBytes);
		const size = Math.min(blockBytes, this.length - (block * blockBytes));
		const place = this._hash % blockBytes;
		const bytes = Buffer.from(table.subarray(place, place + size));
		const stamp = Buffer.alloc(stampBytes);
		// Blocks of one body differ in the stamp alone; 2^32 blocks would be 256 TiB.
		stamp.writeUInt32LE((this._hash + block) % (2 ** 32));
		stamp.copy(bytes, 0, 0, Math.min(stampBytes, size));
		return bytes.subarray(start);
	}

	/** True if `bytes` are what stands at `offset`. */
	matches(bytes: Uint8Array, offset: number): boolean {
		let position = 0;
		while (position < bytes.length) {
			if (offset + position >= this.length) {
				return false;
			}

			const expected = this.chunk(offset + position);
			const size = Math.min(expected.length, bytes.length - position);
			if (!expected.subarray(0, size).equals(bytes.subarray(position, position + size))) {
				return false;
			}

			position += size;
		}

		return true;
	}
}
