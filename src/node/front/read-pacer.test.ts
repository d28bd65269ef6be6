import {expect} from 'earl';
import {ReadPacer} from './read-pacer.ts';

const arrivedBytes = 200_000;

/** A socket on which bytes have arrived whose processing takes a given time; records the bytes that are read in each turn. */
class CostlySocket {
	readableLength = arrivedBytes;
	readableEnded = false;
	destroyed = false;
	readonly bytesPerTurn: number[] = [];
	private readonly _millisecondsPerByte: number;
	private _now = 0;
	private readonly _acts: Array<() => void> = [];
	private _nextTurn: (() => void) | undefined;

	constructor(millisecondsPerByte: number) {
		this._millisecondsPerByte = millisecondsPerByte;
	}

	/** Reads all bytes as an HTTP client does: on each event until nothing is left. */
	run(): void {
		const pacer = new ReadPacer(this, {
			now: () => this._now,
			afterProcessing: act => {
				this._acts.push(act);
			},
			nextTurn: act => {
				this._nextTurn = act;
			},
		});
		expect(pacer).toBeA(ReadPacer);
		this.bytesPerTurn.push(0);
		this.emit();
		while (this._nextTurn !== undefined) {
			const act = this._nextTurn;
			this._nextTurn = undefined;
			this.bytesPerTurn.push(0);
			act();
			this._endEvent();
		}
	}

	read(size = this.readableLength): Buffer | null {
		const bytes = Math.min(size, this.readableLength);
		this.readableLength -= bytes;
		return bytes === 0 ? null : Buffer.alloc(bytes);
	}

	emit(): boolean {
		for (let chunk = this.read(); chunk !== null; chunk = this.read()) {
			this.bytesPerTurn.push(this.bytesPerTurn.pop()! + chunk.length);
			this._now += chunk.length * this._millisecondsPerByte;
		}

		this._endEvent();
		return true;
	}

	private _endEvent(): void {
		for (const act of this._acts.splice(0)) {
			act();
		}
	}
}

function bytesPerTurn(millisecondsPerByte: number): readonly number[] {
	const socket = new CostlySocket(millisecondsPerByte);
	socket.run();
	return socket.bytesPerTurn.filter(bytes => bytes > 0);
}

describe('reading from a connection', () => {
	it('takes all that has arrived if it is cheap to process', () => {
		expect(bytesPerTurn(0.000_001)).toEqual([arrivedBytes]);
	});

	// Guards other connections against a peer that sends chunks of a few bytes without end.
	it('is spread over turns of about a millisecond if the bytes are costly', () => {
		const turns = bytesPerTurn(2 ** -10);
		expect([turns[0], new Set(turns.slice(1, -1)), turns.reduce((sum, bytes) => sum + bytes)]).toEqual([4096, new Set([1024]), arrivedBytes]);
	});

	it('goes on with a small part at a time if a byte is very costly', () => {
		const turns = bytesPerTurn(1);
		expect([turns[0], new Set(turns.slice(1, -1))]).toEqual([4096, new Set([512])]);
	});
});
