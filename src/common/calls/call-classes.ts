/** What calls cost, learnt by class: a service's calls of one method and route, or else of one path pattern, cost alike. */
import {type Milliseconds} from '../model/units.ts';
import {DecayingHistogram} from './decaying-histogram.ts';
import {type CallRequest} from './types.ts';

/** Paths whose pattern is remembered. */
const rememberedPaths = 512;

/** Samples over which means and quantiles are taken. */
const memory = 500;

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
	readonly answerTimes = new DecayingHistogram(memory);
	private _count = 0;
	private _workCount = 0;

	/** Before the first answer the mean of the whole service stands in. */
	constructor(guess: Milliseconds) {
		this.answerMean = guess;
		this.holdMean = guess;
		this.workMean = guess;
	}

	addAnswer(time: Milliseconds): void {
		this._count++;
		this.answerMean += (time - this.answerMean) / Math.min(this._count, memory);
		this.answerTimes.add(time);
	}

	/** An answer of a backend server with free slots and a quiet VM. */
	addWork(time: Milliseconds): void {
		this._workCount++;
		this.workMean += (time - this.workMean) / Math.min(this._workCount, memory);
	}

	/** An answer has told how long the work takes. */
	get hasWork(): boolean {
		return this._workCount > 0;
	}

	addBytes(bytes: number): void {
		this.answerBytesMean += (bytes - this.answerBytesMean) / Math.min(Math.max(1, this._count), memory);
	}

	addHold(time: Milliseconds): void {
		this.holdMean += (time - this.holdMean) / Math.min(Math.max(1, this._count), memory);
	}
}

/** All classes of one service. */
export class CallClasses {
	private readonly _classes = new Map<string, CallClass>();
	/** Classes of routes, the one called last at the end. */
	private readonly _routes = new Map<string, CallClass>();
	private readonly _patterns = new Map<string, string>();
	private readonly _all: CallClass;
	private readonly _most: number;

	/** `most` = most classes kept: paths are made by callers, so their number must not grow with them. */
	constructor(guess: Milliseconds, most: number) {
		this._all = new CallClass(guess);
		this._most = most;
	}

	/** Mean over all calls of the service. */
	get all(): CallClass {
		return this._all;
	}

	/** The class of a call; calls without a route beyond the number of classes share the service's mean. */
	classOf(request: CallRequest): CallClass {
		if (request.rule !== undefined) {
			return this._ofRoute(`${request.method} ${request.rule.route}`);
		}

		const key = request.path === undefined ? request.method : `${request.method} ${this._patternOf(request.path)}`;
		const known = this._classes.get(key);
		if (known !== undefined) {
			return known;
		}

		if (this._classes.size >= this._most) {
			return this._all;
		}

		return this._make(this._classes, key);
	}

	/**
	 * Guards a route that was just added: judged by what the calls of other routes have taken, its calls would be refused
	 * as too long for its timeout while every backend server is idle, and never teach anything else. It starts knowing
	 * nothing. Operators name routes and replace them, so of too many those that were not called for longest are forgotten.
	 */
	private _ofRoute(key: string): CallClass {
		const known = this._routes.get(key);
		if (known === undefined) {
			if (this._routes.size >= this._most) {
				const [oldest] = this._routes.keys();
				this._routes.delete(oldest!);
			}

			return this._make(this._routes, key);
		}

		this._routes.delete(key);
		this._routes.set(key, known);
		return known;
	}

	private _make(classes: Map<string, CallClass>, key: string): CallClass {
		const made = new CallClass(this._all.answerMean);
		classes.set(key, made);
		return made;
	}

	private _patternOf(path: string): string {
		const remembered = this._patterns.get(path);
		if (remembered !== undefined) {
			return remembered;
		}

		if (this._patterns.size >= rememberedPaths) {
			this._patterns.clear();
		}

		const pattern = path.split('/', significantSegments + 1).map(segment => identifierPattern.test(segment) ? '*' : segment).join('/');
		this._patterns.set(path, pattern);
		return pattern;
	}
}
