/** What this VM keeps of one service. */
import {type Service, type SharingRule} from '../model/resources.ts';
import {type Instant} from '../model/units.ts';
import {MovingAverage} from './moving-average.ts';
import {AnswerTimeModel} from './answer-time-model.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {CallClasses} from './call-classes.ts';
import {ArrivalOrderQueue, type CallQueue, FairCallQueue} from './caller-queue.ts';
import {AdaptiveConcurrencyLimit, type ConcurrencyLimit} from './concurrency-limit.ts';
import {ReportTrust} from './report-trust.ts';
import {RetryBudget} from './retry-budget.ts';
import {RetryingCallers} from './retrying-callers.ts';
import {Headroom} from './headroom.ts';
import {type CallTuning} from './tuning.ts';
import {type WarmUpLimit} from './types.ts';

/** Answer time assumed before the first answer. */
const firstGuess = 20;

/** Part of a new sample in means over all of a service's calls. */
const meanGain = 0.02;

/** The same for failures: a common cause must be seen before many backend servers are ejected for it. */
const failingGain = 0.05;

/** Good answers assumed before the first: two failures at the start are no common cause. */
const assumedGood = 5;

/** Slowness of warming backend servers before any of their answers, what it counts for in samples, and their memory. */
const assumedWarmUpSlowness = 2;
const warmUpSamples = 4;
const warmUpMemory = 40;

/** A warming backend server's answer beyond this many usual times tells of a fault, and not of its warm-up. */
const mostWarmUpRatio = 6;

/** Priority of a service whose operator has named none. */
const middlePriority = 5;

/** Sharing where the operator has declared no rule. */
export const defaultSharing = {callerShare: 0.5, overflowAt: 0.8};

/** State of one service. */
export class ServiceState {
	declared: Service;
	sharing: Pick<SharingRule, 'callerShare' | 'overflowAt'> = defaultSharing;
	servers: readonly BackendServerState[] = [];
	/** What its backend servers bear while they warm up; undefined = nothing is known of it. */
	warmUp: WarmUpLimit | undefined;
	/** When a call of this service last came to this VM. */
	lastCallAt: Instant = Number.NEGATIVE_INFINITY;
	readonly classes: CallClasses;
	readonly reportTrust = new ReportTrust();
	/** Where measuring is on demand: what its answers and reports have taught. */
	readonly answerTimes = new AnswerTimeModel();
	readonly headroom = new Headroom();
	readonly returning = new RetryingCallers();
	readonly retryBudget = new RetryBudget();
	readonly limit: ConcurrencyLimit;
	readonly queue: CallQueue;
	/** Attempts in flight. */
	inFlight = 0;
	/** Since when calls have been waiting without a break; undefined while none waits. */
	standingSince: Instant | undefined;
	/** A look at the queue is planned. */
	isLookPlanned = false;
	/** Part of the local slots believed to be in use: what overflow to other data centres goes by. */
	localLoad = 0;
	private _serversByDataCentre = new Map<string, BackendServerState[]>();
	private readonly _callersInFlight = new Map<string, number>();
	private readonly _warmUpSlowness = new MovingAverage(assumedWarmUpSlowness, warmUpSamples, warmUpMemory);
	private _othersMean: number | undefined;
	private _failing = 0;
	private _answerCount = 0;
	private readonly _tuning: CallTuning;

	constructor(declared: Service, tuning: CallTuning) {
		this.declared = declared;
		this._tuning = tuning;
		this.classes = new CallClasses(firstGuess, tuning.callClasses);
		this.limit = new AdaptiveConcurrencyLimit(this._queueTarget());
		this.queue = tuning.isFair ? new FairCallQueue() : new ArrivalOrderQueue();
	}

	/** Reports are fetched before each attempt, and not by the clock. */
	get isMeasuredOnDemand(): boolean {
		return this.declared.measuring.mode === 'on-demand';
	}

	/** Whether any of its backend servers may get new attempts. */
	get hasUsableServer(): boolean {
		return this.servers.some(server => server.takesNewAttempts);
	}

	/** Times longer that work takes at a backend server that warms up. */
	get warmUpSlowness(): number {
		return Math.max(1, this._warmUpSlowness.value);
	}

	/** A warming backend server answered after this many times the usual time. */
	noteWarmUpAnswer(ratio: number): void {
		if (Number.isFinite(ratio)) {
			this._warmUpSlowness.add(Math.min(mostWarmUpRatio, ratio));
		}
	}

	/** Failing part of all its latest calls. */
	get failing(): number {
		return this._failing;
	}

	/** Takes the backend servers that are in force. */
	setServers(servers: BackendServerState[], vmCount: number): void {
		this.servers = servers;
		this._serversByDataCentre = new Map();
		for (const server of servers) {
			const {dataCentre} = server.declared;
			const there = this._serversByDataCentre.get(dataCentre);
			if (there === undefined) {
				this._serversByDataCentre.set(dataCentre, [server]);
			} else {
				there.push(server);
			}
		}

		this.setVmCount(vmCount);
	}

	/** Its backend servers in one data centre. */
	serversIn(dataCentre: string): readonly BackendServerState[] {
		return this._serversByDataCentre.get(dataCentre) ?? [];
	}

	/** Takes a changed declaration. */
	redeclare(declared: Service): void {
		this.declared = declared;
		this.limit.setTarget(this._queueTarget());
	}

	setVmCount(vmCount: number): void {
		let slots = 0;
		for (const server of this.servers) {
			slots += server.takesNewAttempts ? server.declared.slots : 0;
		}

		this.limit.setBounds({slots, vmCount});
	}

	/** Calls of other VMs that a backend server usually has: from reports, else as many as own calls suggest. */
	usualOthers(vmCount: number): number {
		return this._othersMean ?? (this.inFlight / Math.max(1, this.servers.length)) * (vmCount - 1);
	}

	/**
	 * Calls believed to be at a backend server: own ones are certain, those of other VMs are the usual
	 * number and, as far as reports are trusted, what the latest one said beyond it.
	 */
	loadOf(server: BackendServerState, vmCount: number, now: Instant): number {
		const usual = this.usualOthers(vmCount);
		return (server.attempts.size * (1 + (this._tuning.ownAsSample * (vmCount - 1)))) + usual + (this.reportTrust.value * server.signalAt(now, usual, this.classes.all.holdMean));
	}

	noteOthers(others: number): void {
		this._othersMean = this._othersMean === undefined ? others : this._othersMean + ((others - this._othersMean) * meanGain);
	}

	noteAnswer(hasFailed: boolean): void {
		this._answerCount++;
		this._failing += ((hasFailed ? 1 : 0) - this._failing) * Math.max(failingGain, 1 / (this._answerCount + assumedGood));
	}

	callerInFlight(caller: string): number {
		return this._callersInFlight.get(caller) ?? 0;
	}

	noteStarted(caller: string): void {
		this.inFlight++;
		this._callersInFlight.set(caller, this.callerInFlight(caller) + 1);
	}

	noteEnded(caller: string): void {
		this.inFlight--;
		const left = this.callerInFlight(caller) - 1;
		if (left <= 0) {
			this._callersInFlight.delete(caller);
		} else {
			this._callersInFlight.set(caller, left);
		}
	}

	/**
	 * Services on the same backend servers all see the same queues there. The one that tolerates longer
	 * ones keeps its concurrency while the others give theirs up, so that the least important is refused
	 * first without any talk between VMs.
	 */
	private _queueTarget(): number {
		return this._tuning.queuedPerSlot * (this._tuning.priorityFactor ** (this.declared.priority - middlePriority));
	}

	/** Time that `ahead` calls take to start when one starts with each that ends. */
	waitFor(ahead: number): number {
		return ahead * this.classes.all.holdMean / Math.max(1, Math.min(this.limit.value, this.inFlight));
	}
}
