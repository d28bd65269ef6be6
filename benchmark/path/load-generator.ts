/** Load generator: sends calls at a fixed rate (open loop), or as fast as a number of connections allows (closed loop). */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {build, type Histogram} from 'hdr-histogram-js';
import {type Dispatcher, Pool} from 'undici';
import {AnswerBody, bodyDigest} from '../../src/stand-ins/answer-body.ts';
import {bytesHeader, callIdHeader, workHeader} from '../../src/stand-ins/headers.ts';
import {type LoadOrder, type LoadResult} from './types.ts';

const maxLatencyMicroseconds = 120_000_000;
const connectionLimit = 256;

/** Handler of one call that checks every byte of the answer. */
class MeasuredCall implements Dispatcher.DispatchHandler {
	private _length = 0;
	private _isCorrect = true;
	private _status = 0;
	private readonly _expected: AnswerBody;
	private readonly _onDone: (isCorrect: boolean) => void;

	constructor(expected: AnswerBody, onDone: (isCorrect: boolean) => void) {
		this._expected = expected;
		this._onDone = onDone;
	}

	onRequestStart(): void {
		this._length = 0;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this._status = status;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this._isCorrect &&= this._expected.matches(chunk, this._length);
		this._length += chunk.length;
	}

	onResponseEnd(): void {
		this._onDone(this._isCorrect && this._status === 200 && this._length === this._expected.length);
	}

	onResponseError(): void {
		this._onDone(false);
	}
}

/** Runs one order. Every order gets its own generator, so that runs share no state. */
export class LoadGenerator {
	private readonly _histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMicroseconds, numberOfSignificantValueDigits: 3});
	private readonly _pools: readonly Pool[];
	private readonly _order: LoadOrder;
	private readonly _body: Buffer | null;
	private readonly _digest: string;
	private _countFrom = 0;
	private _sent = 0;
	private _failed = 0;
	private _correct = 0;
	private _inFlight = 0;

	constructor(order: LoadOrder) {
		this._order = order;
		this._body = order.bodyBytes === 0 ? null : Buffer.alloc(order.bodyBytes, 'o');
		this._digest = this._body === null ? '' : bodyDigest(this._body);
		this._pools = order.ports.map(port => new Pool(`http://127.0.0.1:${port}`, {
			connections: Math.ceil((order.callsPerSecond === 0 ? order.concurrency : connectionLimit) / order.ports.length),
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
		}));
	}

	/** Runs the warm-up and the measured part. */
	async run(): Promise<LoadResult> {
		this._countFrom = performance.now() + (this._order.warmUpSeconds * 1000);
		await (this._order.callsPerSecond === 0 ? this._runClosed() : this._runOpen());
		await Promise.all(this._pools.map(async pool => pool.destroy()));
		const percentile = (share: number): number => this._histogram.getValueAtPercentile(share) / 1000;
		return {
			calls: this._sent,
			failed: this._failed,
			callsPerSecond: this._correct / this._order.seconds,
			p50: percentile(50),
			p99: percentile(99),
			p999: percentile(99.9),
			maximum: this._histogram.maxValue / 1000,
		};
	}

	/** Starts the next call whenever one ends. */
	private async _runClosed(): Promise<void> {
		const until = this._countFrom + (this._order.seconds * 1000);
		await new Promise<void>(resolve => {
			const next = (): void => {
				if (performance.now() < until) {
					this._send(performance.now(), next);
				} else if (this._inFlight === 0) {
					resolve();
				}
			};

			for (let index = 0; index < this._order.concurrency; index++) {
				next();
			}
		});
	}

	/**
	 * Calls are due at fixed instants, whether or not earlier calls have ended, and latencies are measured from these instants.
	 * A stall of the system therefore shows in every call that was due during the stall. The loop polls continuously, since the
	 * 1 ms resolution of timers is as long as the measured latencies.
	 */
	private async _runOpen(): Promise<void> {
		const startedAt = performance.now();
		const total = Math.floor((this._order.warmUpSeconds + this._order.seconds) * this._order.callsPerSecond);
		await new Promise<void>(resolve => {
			const poll = (): void => {
				const due = Math.min(total, Math.floor((performance.now() - startedAt) / 1000 * this._order.callsPerSecond) + 1);
				while (this._sent < due) {
					this._send(startedAt + (this._sent * 1000 / this._order.callsPerSecond), () => undefined);
				}

				if (this._sent === total && this._inFlight === 0) {
					resolve();
					return;
				}

				setImmediate(poll);
			};

			poll();
		});
	}

	private _send(dueAt: number, onEnded: () => void): void {
		const index = this._sent++;
		this._inFlight++;
		const callId = String(index);
		const path = `/items/${index % 100}`;
		const method = this._body === null ? 'GET' : 'POST';
		const expected = new AnswerBody({
			method, path, callId, requestDigest: this._digest,
		}, this._order.answerBytes);
		const pool = this._pools[index % this._pools.length]!;
		pool.dispatch({
			method,
			path: this._order.pathPrefix + path,
			headers: [callIdHeader, callId, bytesHeader, String(this._order.answerBytes), workHeader, String(this._order.workMilliseconds)],
			body: this._body,
		}, new MeasuredCall(expected, isCorrect => {
			this._inFlight--;
			if (isCorrect && dueAt < this._countFrom) {
				onEnded();
				return;
			}

			if (isCorrect) {
				this._correct++;
				this._histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * 1000)));
			} else {
				this._failed++;
			}

			onEnded();
		}));
	}
}
