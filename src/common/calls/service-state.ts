/** State of one service on this VM. */
import {type Service, type SharingRule} from '../model/resources.ts';
import {type Instant} from '../model/units.ts';
import {MovingAverage} from './estimates/moving-average.ts';
import {AnswerTimeModel} from './estimates/answer-time-model.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {CallClasses} from './estimates/call-classes.ts';
import {ArrivalOrderQueue, type CallQueue, FairCallQueue} from './admission/caller-queue.ts';
import {AdaptiveConcurrencyLimit, type ConcurrencyLimit} from './admission/concurrency-limit.ts';
import {ReportConfidence} from './estimates/report-confidence.ts';
import {RetryBudget} from './attempts/retry-budget.ts';
import {RetryingCallers} from './admission/retrying-callers.ts';
import {ServiceOverload} from './admission/service-overload.ts';
import {Headroom} from './estimates/headroom.ts';
import {ServerSubset} from './placement/server-subset.ts';
import {type CallTuning} from './tuning.ts';
import {type WarmUpLimit} from './types.ts';

/** Answer time assumed before the first answer. */
const initialAnswerTimeMilliseconds = 20;

/** Weight of a new sample in the moving averages over all calls of a service. */
const meanSampleWeight = 0.02;

/** Weight of a new sample in the failure rate. High enough that a common cause shows before many backend servers are ejected for it. */
const failureSampleWeight = 0.05;

/** Successful answers assumed at the start, so that two early failures do not look like a common cause. */
const initialSuccessCount = 5;

/** Slowness of warming backend servers: initial value, its weight in samples, and the number of samples in the average. */
const initialWarmUpSlowness = 2;
const initialWarmUpSamples = 4;
const warmUpMemorySamples = 40;

/** Cap on the ratio of one answer of a warming backend server: a higher ratio indicates a fault and not the warm-up. */
const maxWarmUpRatio = 6;

/** Priority of a service whose declaration sets none. */
const defaultPriority = 5;

/** Sharing of a service without a declared rule. */
export const defaultSharing = {callerShare: 0.5, overflowAt: 0.8};

export class ServiceState {
	declared: Service;
	sharing: Pick<SharingRule, 'callerShare' | 'overflowAt'> = defaultSharing;
	servers: readonly BackendServerState[] = [];
	/** Those that have announced a rate limit. */
	limitedServers: ReadonlySet<BackendServerState> = new Set();
	/** Load that its backend servers can take while they warm up; undefined = unknown. */
	warmUp: WarmUpLimit | undefined;
	/** Time of the latest call of this service on this VM. */
	lastCallAt: Instant = Number.NEGATIVE_INFINITY;
	readonly classes: CallClasses;
	readonly reportConfidence = new ReportConfidence();
	/** Model of its answer times, learnt from answers and reports; used only with on-demand load probes. */
	readonly answerTimes = new AnswerTimeModel();
	readonly headroom = new Headroom();
	readonly overload = new ServiceOverload();
	readonly retryingCallers = new RetryingCallers();
	readonly retryBudget = new RetryBudget();
	readonly limit: ConcurrencyLimit;
	readonly queue: CallQueue;
	/** Backend servers of the own data centre that are used first; undefined = all of them are. */
	readonly subset: ServerSubset<BackendServerState> | undefined;
	/** Attempts in flight. */
	inFlight = 0;
	/** Time since which the queue has not been empty; undefined while it is empty. */
	queueNonEmptySince: Instant | undefined;
	/** True while a timer for the next check of the queue is pending. */
	isQueueCheckScheduled = false;
	/** Estimated fraction of the slots in the own data centre that are in use; controls the overflow to other data centres. */
	localLoad = 0;
	private _serversByDataCentre = new Map<string, BackendServerState[]>();
	private readonly _callersInFlight = new Map<string, number>();
	private readonly _warmUpSlowness = new MovingAverage(initialWarmUpSlowness, initialWarmUpSamples, warmUpMemorySamples);
	private _meanCallsOfOtherVms: number | undefined;
	private _failureRate = 0;
	private _answerCount = 0;
	private readonly _tuning: CallTuning;

	constructor(declared: Service, tuning: CallTuning, memberHash?: (text: string) => number) {
		this.declared = declared;
		this._tuning = tuning;
		this.classes = new CallClasses(initialAnswerTimeMilliseconds, tuning.maxCallClasses);
		this.limit = new AdaptiveConcurrencyLimit(this._targetQueuedPerSlot());
		this.queue = tuning.isFairQueue ? new FairCallQueue() : new ArrivalOrderQueue();
		this.subset = memberHash === undefined ? undefined : new ServerSubset(memberHash);
	}

	/** True if load probes are sent before each attempt and not on a schedule. */
	get isMeasuredOnDemand(): boolean {
		return this.declared.measuring.mode === 'on-demand';
	}

	/** Whether any of its backend servers may get new attempts. */
	get hasUsableServer(): boolean {
		return this.servers.some(server => server.takesNewAttempts);
	}

	/** Factor by which work takes longer on a backend server that is warming up; at least 1. */
	get warmUpSlowness(): number {
		return Math.max(1, this._warmUpSlowness.value);
	}

	/** Records an answer of a warming backend server; `ratio` = its answer time as a multiple of the usual one. */
	recordWarmUpAnswer(ratio: number): void {
		if (Number.isFinite(ratio)) {
			this._warmUpSlowness.add(Math.min(maxWarmUpRatio, ratio));
		}
	}

	/** Fraction of the latest calls on all its backend servers that failed. */
	get failureRate(): number {
		return this._failureRate;
	}

	/** Called when a backend server has announced a rate limit, or its end. */
	updateLimitedServers(): void {
		this.limitedServers = new Set(this.servers.filter(({rateLimit}) => rateLimit.callsPerSecond !== undefined));
	}

	/** Sets the backend servers of the configuration in force. */
	setServers(servers: BackendServerState[], vmCount: number): void {
		this.servers = servers;
		this.updateLimitedServers();
		this._serversByDataCentre = new Map();
		for (const server of servers) {
			const {dataCentre} = server.declared;
			const ofDataCentre = this._serversByDataCentre.get(dataCentre);
			if (ofDataCentre === undefined) {
				this._serversByDataCentre.set(dataCentre, [server]);
			} else {
				ofDataCentre.push(server);
			}
		}

		this.setVmCount(vmCount);
	}

	/** Its backend servers in one data centre. */
	serversIn(dataCentre: string): readonly BackendServerState[] {
		return this._serversByDataCentre.get(dataCentre) ?? [];
	}

	/** Applies a changed declaration. */
	updateDeclaration(declared: Service): void {
		this.declared = declared;
		this.limit.setTarget(this._targetQueuedPerSlot());
	}

	setVmCount(vmCount: number): void {
		let slots = 0;
		for (const server of this.servers) {
			slots += server.takesNewAttempts ? server.declared.slots : 0;
		}

		this.limit.setBounds({slots, vmCount});
	}

	/** Mean number of calls of other VMs on a backend server: from reports, else estimated from the number of own calls. */
	meanCallsOfOtherVms(vmCount: number): number {
		return this._meanCallsOfOtherVms ?? (this.inFlight / Math.max(1, this.servers.length)) * (vmCount - 1);
	}

	/**
	 * Estimated number of calls on a backend server. Own calls are counted exactly. For other VMs, the estimate is their mean
	 * number plus the excess over it in the latest report, weighted by the confidence in reports.
	 */
	loadOf(server: BackendServerState, vmCount: number, now: Instant): number {
		const meanOthers = this.meanCallsOfOtherVms(vmCount);
		return (server.attempts.size * (1 + (this._tuning.ownCallExtrapolation * (vmCount - 1)))) + meanOthers
			+ (this.reportConfidence.value * server.reportedExcessAt(now, meanOthers, this.classes.all.holdMean));
	}

	recordCallsOfOtherVms(others: number): void {
		this._meanCallsOfOtherVms = this._meanCallsOfOtherVms === undefined ? others : this._meanCallsOfOtherVms + ((others - this._meanCallsOfOtherVms) * meanSampleWeight);
	}

	recordAnswer(hasFailed: boolean): void {
		this._answerCount++;
		this._failureRate += ((hasFailed ? 1 : 0) - this._failureRate) * Math.max(failureSampleWeight, 1 / (this._answerCount + initialSuccessCount));
	}

	callerInFlight(caller: string): number {
		return this._callersInFlight.get(caller) ?? 0;
	}

	recordAttemptStart(caller: string): void {
		this.inFlight++;
		this._callersInFlight.set(caller, this.callerInFlight(caller) + 1);
	}

	recordAttemptEnd(caller: string): void {
		this.inFlight--;
		const left = this.callerInFlight(caller) - 1;
		if (left <= 0) {
			this._callersInFlight.delete(caller);
		} else {
			this._callersInFlight.set(caller, left);
		}
	}

	/**
	 * Number of queued calls per slot that the service tolerates on backend servers. Services that share backend servers see
	 * the same queues there. The one that tolerates longer queues keeps its concurrency while the others reduce theirs, so
	 * the least important service is refused first without coordination between VMs.
	 */
	private _targetQueuedPerSlot(): number {
		return this._tuning.targetQueuedPerSlot * (this._tuning.priorityFactor ** (this.declared.priority - defaultPriority));
	}

	/** Milliseconds until `ahead` queued calls have started, if each ending call lets one start. */
	estimateWait(ahead: number): number {
		return ahead * this.classes.all.holdMean / Math.max(1, Math.min(this.limit.value, this.inFlight));
	}
}
