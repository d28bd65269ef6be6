/** Open-loop load on one service: calls are sent at fixed times, whether or not earlier ones have ended. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {build, type Histogram} from 'hdr-histogram-js';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Caller} from './caller.ts';
import {type CallerReport, type CallResult, type OutgoingCall} from './types.ts';

/** Rate and kind of the calls. */
export type CallerLoadSettings = {
	readonly name: string;
	readonly service: string;
	readonly callsPerSecond: number;
	/** Share of the calls that are orders: POST with a body, not idempotent. */
	readonly orderShare: number;
	readonly answerBytes: number;
	/** One call in this many is a download of `downloadBytes`; 0 disables downloads. */
	readonly downloadEvery: number;
	readonly downloadBytes: number;
	readonly workMilliseconds: number | undefined;
	readonly timeoutMilliseconds: number;
};

const tickMilliseconds = 1;
const maxLatencyMicroseconds = 600_000_000;
const orderBody = Buffer.from(JSON.stringify({order: 'fibre pair', spans: [1, 2, 3], quantity: 1}));
const maxFaults = 20;

/** Measures latency from the time at which a call was due, which avoids coordinated omission if the event loop stalls. */
export class CallerLoad extends Disposable {
	private readonly _histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMicroseconds, numberOfSignificantValueDigits: 3});
	private readonly _nonIdempotent: Array<Pick<CallResult, 'callId' | 'outcome'>> = [];
	private readonly _faults: CallResult[] = [];
	private readonly _counts = {
		right: 0, refused: 0, unknown: 0, lost: 0, wrong: 0,
	};

	private readonly _timer: NodeJS.Timeout;
	private readonly _startedAt = performance.now();
	private _sentCount = 0;
	private _endedCount = 0;

	constructor(private readonly _settings: CallerLoadSettings, private readonly _caller: Caller) {
		super();
		this._timer = setInterval(() => {
			this._sendDueCalls();
		}, tickMilliseconds);
		this._register(toDisposable(() => {
			this.stop();
		}));
	}

	/** Sends no further calls; those in flight continue. */
	stop(): void {
		clearInterval(this._timer);
	}

	/** Returns the counts and latencies so far. */
	report(): CallerReport {
		const percentile = (share: number): number => this._histogram.getValueAtPercentile(share) / 1000;
		return {
			service: this._settings.service,
			calls: this._sentCount,
			inFlight: this._sentCount - this._endedCount,
			...this._counts,
			p50: percentile(50),
			p99: percentile(99),
			p999: percentile(99.9),
			nonIdempotent: this._nonIdempotent,
			faults: this._faults,
		};
	}

	private _sendDueCalls(): void {
		// Call k, from 0, is due k intervals after the start, so the first one is due at once.
		const dueCount = Math.floor((performance.now() - this._startedAt) / 1000 * this._settings.callsPerSecond) + 1;
		while (this._sentCount < dueCount) {
			const dueAt = this._startedAt + (this._sentCount * 1000 / this._settings.callsPerSecond);
			void this._sendOne(this._makeCall(this._sentCount), dueAt);
			this._sentCount++;
		}
	}

	private _makeCall(index: number): OutgoingCall {
		const {service, name, orderShare, downloadEvery, downloadBytes, answerBytes, workMilliseconds, timeoutMilliseconds} = this._settings;
		const isOrder = Math.floor((index + 1) * orderShare) > Math.floor(index * orderShare);
		const isDownload = !isOrder && downloadEvery > 0 && index % downloadEvery === 0;
		return {
			callId: `${name}-${service}-${index}`,
			service,
			method: isOrder ? 'POST' : 'GET',
			path: isOrder ? '/orders' : `/items/${index % 100}`,
			body: isOrder ? orderBody : undefined,
			answerBytes: isDownload ? downloadBytes : answerBytes,
			workMilliseconds,
			timeoutMilliseconds,
		};
	}

	private async _sendOne(call: OutgoingCall, dueAt: number): Promise<void> {
		const result = await this._caller.call(call);
		this._endedCount++;
		if (result.isRight) {
			this._histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * 1000)));
		}

		this._count(result);
		if (call.method === 'POST') {
			this._nonIdempotent.push({callId: result.callId, outcome: result.outcome});
		}
	}

	private _count(result: CallResult): void {
		if (result.isRight) {
			this._counts.right++;
			return;
		}

		if (this._faults.length < maxFaults) {
			this._faults.push(result);
		}

		if (result.isWrong) {
			this._counts.wrong++;
		} else if (result.outcome === 'not-run') {
			this._counts.refused++;
		} else if (result.outcome === 'lost') {
			this._counts.lost++;
		} else {
			this._counts.unknown++;
		}
	}
}
