/** Steps of the benchmark: calls directly and through jaydale in turns, then memory. */
import {setTimeout as delay} from 'node:timers/promises';
import {loadClient} from './load-client.ts';
import {type MeasuredTarget} from './measured-target.ts';
import {processorMilliseconds, residentBytes, waitingMilliseconds} from './process-figures.ts';
import {
	type GarbageCollection, type LoadOrder, type LoadResult, type PairedResult, type PathResults,
} from './types.ts';

/** Sizes and concurrency of a kind of call. */
export type CallShape = Pick<LoadOrder, 'answerBytes' | 'bodyBytes' | 'concurrency'>;

const servicePrefix = '/services/bench';
export const smallRead: CallShape = {answerBytes: 256, bodyBytes: 0, concurrency: 32};
export const smallOrder: CallShape = {answerBytes: 256, bodyBytes: 512, concurrency: 32};
export const download: CallShape = {answerBytes: 100_000_000, bodyBytes: 0, concurrency: 2};
const heldConnections = 500;
const pausedDownloads = 20;
const settleMilliseconds = 700;
const samplingMilliseconds = 50;

function median(values: readonly number[]): number {
	const sorted = values.toSorted((first, second) => first - second);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function medianResult(results: readonly LoadResult[]): LoadResult {
	const medianOf = (read: (result: LoadResult) => number): number => median(results.map(result => read(result)));
	return {
		calls: results.reduce((sum, result) => sum + result.calls, 0),
		failed: results.reduce((sum, result) => sum + result.failed, 0),
		callsPerSecond: medianOf(result => result.callsPerSecond),
		p50: medianOf(result => result.p50),
		p99: medianOf(result => result.p99),
		p999: medianOf(result => result.p999),
		maximum: medianOf(result => result.maximum),
	};
}

type ThroughRun = {readonly result: LoadResult; readonly processorMilliseconds: number; readonly runs: number; readonly waitingMilliseconds: number; readonly garbageCollection: GarbageCollection};

/** Runs the measurements against one set of processes. */
export class PathBenchmark {
	private readonly _target: MeasuredTarget;
	private readonly _seconds: number;
	private readonly _warmUpSeconds: number;
	private readonly _print: (line: string) => void;

	constructor(target: MeasuredTarget, seconds: number, print: (line: string) => void) {
		this._target = target;
		this._seconds = seconds;
		this._warmUpSeconds = seconds / 3;
		this._print = print;
	}

	/** Runs direct calls and calls through jaydale in turns, so that changes on the machine affect both. */
	async paired(name: string, shape: CallShape, callsPerSecond: number, rounds: number): Promise<PairedResult> {
		const direct: LoadResult[] = [];
		const through: ThroughRun[] = [];
		for (let round = 0; round < rounds; round++) {
			direct.push(await this._runDirect(shape, callsPerSecond));
			through.push(await this._runThrough(shape, callsPerSecond));
		}

		const medianAdded = (read: (result: LoadResult) => number): number => median(through.map(({result}, round) => read(result) - read(direct[round]!)));
		const calls = through.reduce((sum, {result}) => sum + result.calls, 0);
		const processor = through.reduce((sum, run) => sum + run.processorMilliseconds, 0);
		const paired: PairedResult = {
			name,
			callsPerSecond,
			rounds,
			direct: medianResult(direct),
			through: medianResult(through.map(({result}) => result)),
			added: {p50: medianAdded(result => result.p50), p99: medianAdded(result => result.p99), p999: medianAdded(result => result.p999)},
			leastAddedP99: Math.min(...through.map(({result}, round) => result.p99 - direct[round]!.p99)),
			processorMicrosecondsPerCall: processor * 1000 / calls,
			extraRunShare: (through.reduce((sum, run) => sum + run.runs, 0) / calls) - 1,
			waitingShare: through.reduce((sum, run) => sum + run.waitingMilliseconds, 0) / (rounds * (this._seconds + this._warmUpSeconds) * 1000),
			garbageCollection: {
				pauses: through.reduce((sum, run) => sum + run.garbageCollection.pauses, 0),
				totalMilliseconds: through.reduce((sum, run) => sum + run.garbageCollection.totalMilliseconds, 0),
				longestMilliseconds: Math.max(...through.map(run => run.garbageCollection.longestMilliseconds)),
			},
		};
		this._print(`${name}: ${paired.through.callsPerSecond.toFixed(0)} calls per second through jaydale, ${paired.direct.callsPerSecond.toFixed(0)} direct`);
		return paired;
	}

	/**
	 * Memory of a fresh process: at rest, for idle connections, and for paused downloads. In a process that has run load before,
	 * the free part of the heap would hide all of these.
	 */
	async memory(growthInDownloads: PathResults['memory']['growthInDownloads']): Promise<PathResults['memory']> {
		const startBytes = await this._settledBytes();
		const bytesPerIdleConnection = await this._heldGrowth(heldConnections, 1, false) / heldConnections;
		const beforeDownloads = await this._settledBytes();
		await this._hold(pausedDownloads, download.answerBytes, true);
		const earlyBytes = await this._settledBytes();
		const lateBytes = await this._settledBytes();
		await loadClient.release(this._target.loadPort);
		return {
			startBytes,
			bytesPerIdleConnection,
			bytesPerPausedDownload: (earlyBytes - beforeDownloads) / pausedDownloads,
			growthWhilePausedBytes: lateBytes - earlyBytes,
			growthInDownloads,
		};
	}

	/** Peak growth of the resident memory of a fresh process in bytes, while downloads of a length run two at a time. */
	async downloadGrowth(answerBytes: number): Promise<number> {
		const before = await this._settledBytes();
		let highest = before;
		const timer = setInterval(() => {
			highest = Math.max(highest, residentBytes(this._target.pid));
		}, samplingMilliseconds);
		await this._runThrough({...download, answerBytes}, 0);
		clearInterval(timer);
		return highest - before;
	}

	private async _heldGrowth(count: number, answerBytes: number, isPaused: boolean): Promise<number> {
		const before = await this._settledBytes();
		await this._hold(count, answerBytes, isPaused);
		const after = await this._settledBytes();
		await loadClient.release(this._target.loadPort);
		return after - before;
	}

	private async _hold(count: number, answerBytes: number, isPaused: boolean): Promise<void> {
		await loadClient.hold(this._target.loadPort, {
			port: this._target.callPort, path: `${servicePrefix}/held`, count, answerBytes, isPaused,
		});
	}

	private async _settledBytes(): Promise<number> {
		await delay(settleMilliseconds);
		return residentBytes(this._target.pid);
	}

	private _order(shape: CallShape, callsPerSecond: number): LoadOrder {
		return {
			...shape,
			callsPerSecond,
			seconds: this._seconds,
			warmUpSeconds: this._warmUpSeconds,
			workMilliseconds: 0,
			ports: [this._target.callPort],
			pathPrefix: servicePrefix,
		};
	}

	private async _runDirect(shape: CallShape, callsPerSecond: number): Promise<LoadResult> {
		return loadClient.run(this._target.loadPort, {...this._order(shape, callsPerSecond), ports: [...this._target.backendPorts], pathPrefix: ''});
	}

	private async _runThrough(shape: CallShape, callsPerSecond: number): Promise<ThroughRun> {
		await this._target.garbageCollection();
		const runsBefore = await this._target.runs();
		const before = processorMilliseconds(this._target.pid);
		const waitingBefore = waitingMilliseconds(this._target.pid);
		const result = await loadClient.run(this._target.loadPort, this._order(shape, callsPerSecond));
		const processor = processorMilliseconds(this._target.pid) - before;
		const waiting = waitingMilliseconds(this._target.pid) - waitingBefore;
		return {
			result,
			processorMilliseconds: processor,
			waitingMilliseconds: waiting,
			runs: await this._target.runs() - runsBefore,
			garbageCollection: await this._target.garbageCollection(),
		};
	}
}
