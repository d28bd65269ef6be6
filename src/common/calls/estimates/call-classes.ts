/**
 * Cost of calls, learnt by class: a service's calls with the same method and route, or without a route the same path
 * pattern, form a class.
 */
import {type Milliseconds} from '../../model/units.ts';
import {type CallRequest} from '../types.ts';
import {DecayingHistogram} from './decaying-histogram.ts';

/** Maximum number of paths whose pattern is cached. */
const maxCachedPaths = 512;

/** Samples over which means and quantiles are taken. */
const memorySamples = 500;

/** Path segments that identify a single item: with a digit, or at least 24 characters long. */
const identifierPattern = /^(?:.*\d.*|.{24,})$/v;

/** Leading path segments that distinguish classes. */
const significantSegments = 3;

/** Cost of the calls of one class. */
export class CallClass {
	/** Mean time to the head of the answer. */
	answerMean: Milliseconds;
	/** Mean time for which a slot is held: to the end of the answer. */
	holdMean: Milliseconds;
	/** Mean answer time at a backend server that nothing slows down; until such an answer was seen, the initial value. */
	workMean: Milliseconds;
	/** Mean size of a whole answer in bytes. */
	answerBytesMean = 0;
	readonly answerTimes = new DecayingHistogram(memorySamples);
	private _count = 0;
	private _workCount = 0;

	/** `initialMilliseconds` stands in for all times before the first answer; it is the mean of the whole service. */
	constructor(initialMilliseconds: Milliseconds) {
		this.answerMean = initialMilliseconds;
		this.holdMean = initialMilliseconds;
		this.workMean = initialMilliseconds;
	}

	addAnswer(time: Milliseconds): void {
		this._count++;
		this.answerMean += (time - this.answerMean) / Math.min(this._count, memorySamples);
		this.answerTimes.add(time);
	}

	/** Adds an answer of a backend server with free slots on a quiet VM. */
	addWork(time: Milliseconds): void {
		this._workCount++;
		this.workMean += (time - this.workMean) / Math.min(this._workCount, memorySamples);
	}

	/** Whether the work time has been measured. */
	get hasWork(): boolean {
		return this._workCount > 0;
	}

	addBytes(bytes: number): void {
		this.answerBytesMean += (bytes - this.answerBytesMean) / Math.min(Math.max(1, this._count), memorySamples);
	}

	addHold(time: Milliseconds): void {
		this.holdMean += (time - this.holdMean) / Math.min(Math.max(1, this._count), memorySamples);
	}
}

/** All call classes of one service. */
export class CallClasses {
	private readonly _classes = new Map<string, CallClass>();
	/** Classes of routes, least recently called first. */
	private readonly _routes = new Map<string, CallClass>();
	private readonly _patterns = new Map<string, string>();
	private readonly _all: CallClass;
	private readonly _maxClasses: number;

	/** `maxClasses` = maximum number of classes kept: callers choose the paths, so memory must not grow with them. */
	constructor(initialMilliseconds: Milliseconds, maxClasses: number) {
		this._all = new CallClass(initialMilliseconds);
		this._maxClasses = maxClasses;
	}

	/** Mean over all calls of the service. */
	get all(): CallClass {
		return this._all;
	}

	/** The class of a call. Without a route, calls of new classes beyond the maximum share the mean of the service. */
	classOf(request: CallRequest): CallClass {
		if (request.rule !== undefined) {
			return this._classOfRoute(`${request.method} ${request.rule.route}`);
		}

		const key = request.path === undefined ? request.method : `${request.method} ${this._patternOf(request.path)}`;
		const existing = this._classes.get(key);
		if (existing !== undefined) {
			return existing;
		}

		if (this._classes.size >= this._maxClasses) {
			return this._all;
		}

		return this._create(this._classes, key);
	}

	/**
	 * A route has a class of its own from its first call. Judged by the calls of other routes, the calls of a new route
	 * could be refused as too long for its timeout while every backend server is idle, so that nothing would ever be learnt
	 * about it. Operators name routes and replace them, so beyond the maximum the least recently called one is dropped.
	 */
	private _classOfRoute(key: string): CallClass {
		const existing = this._routes.get(key);
		if (existing === undefined) {
			if (this._routes.size >= this._maxClasses) {
				const [oldest] = this._routes.keys();
				this._routes.delete(oldest!);
			}

			return this._create(this._routes, key);
		}

		this._routes.delete(key);
		this._routes.set(key, existing);
		return existing;
	}

	private _create(classes: Map<string, CallClass>, key: string): CallClass {
		const created = new CallClass(this._all.answerMean);
		classes.set(key, created);
		return created;
	}

	private _patternOf(path: string): string {
		const cached = this._patterns.get(path);
		if (cached !== undefined) {
			return cached;
		}

		if (this._patterns.size >= maxCachedPaths) {
			this._patterns.clear();
		}

		const pattern = path.split('/', significantSegments + 1).map(segment => identifierPattern.test(segment) ? '*' : segment).join('/');
		this._patterns.set(path, pattern);
		return pattern;
	}
}
