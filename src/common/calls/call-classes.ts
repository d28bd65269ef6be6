/** What calls cost, learnt by class: a service's calls of one method and route, or else of one path pattern, cost alike. */
import {type Milliseconds} from '../model/units.ts';
import {DecayingHistogram} from './decaying-histogram.ts';
import {type CallRequest} from './types.ts';

/** Paths whose pattern is remembered. */
const maxCachedPaths = 512;

/** Samples over which means and quantiles are taken. */
const memorySamples = 500;

/** Parts of a path that name one thing and not a kind of thing: with a digit, or long. */
const identifierPattern = /^(?:.*\d.*|.{24,})$/v;

/** Segments of a path that tell classes apart. */
const significantSegments = 3;

/** Cost of one class. */
export class CallClass {
	/** Mean time to the head of the answer. */
	answerMean: Milliseconds;
	/** Mean time that a slot is held: to the end of the answer. */
	holdMean: Milliseconds;
	/** Mean time of an answer at a backend server that nothing slows down; the mean of all until one was seen. */
	workMean: Milliseconds;
	/** Mean size of a whole answer in bytes. */
	answerBytesMean = 0;
	readonly answerTimes = new DecayingHistogram(memorySamples);
	private _count = 0;
	private _workCount = 0;

	/** Before the first answer the mean of the whole service stands in. */
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

	/** An answer of a backend server with free slots and a quiet VM. */
	addWork(time: Milliseconds): void {
		this._workCount++;
		this.workMean += (time - this.workMean) / Math.min(this._workCount, memorySamples);
	}

	/** An answer has told how long the work takes. */
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

/** All classes of one service. */
export class CallClasses {
	private readonly _classes = new Map<string, CallClass>();
	/** Classes of routes, the one called last at the end. */
	private readonly _routes = new Map<string, CallClass>();
	private readonly _patterns = new Map<string, string>();
	private readonly _all: CallClass;
	private readonly _maxClasses: number;

	/** `most` = most classes kept: paths are made by callers, so their number must not grow with them. */
	constructor(initialMilliseconds: Milliseconds, maxClasses: number) {
		this._all = new CallClass(initialMilliseconds);
		this._maxClasses = maxClasses;
	}

	/** Mean over all calls of the service. */
	get all(): CallClass {
		return this._all;
	}

	/** The class of a call; calls without a route beyond the number of classes share the service's mean. */
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
	 * Guards a route that was just added: judged by what the calls of other routes have taken, its calls would be refused
	 * as too long for its timeout while every backend server is idle, and never teach anything else. It starts knowing
	 * nothing. Operators name routes and replace them, so of too many those that were not called for longest are forgotten.
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
