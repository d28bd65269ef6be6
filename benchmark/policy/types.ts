/** Types of the policy benchmark. */
import {type CallEngine, type CallRule, type LoadReport} from '../../src/common/calls/types.ts';
import {type Service} from '../../src/common/model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../src/common/model/units.ts';

/** A call of the workload. The workload depends only on scenario and seed, not on the policy. */
export type PlannedCall = {
	readonly at: Instant;
	readonly service: string;
	readonly caller: string;
	readonly vm: number;
	readonly method: string;
	readonly path: string;
	/** Time that the call occupies one slot of a backend server running at full speed. */
	readonly work: Milliseconds;
	readonly timeout: Milliseconds;
	/** Rule of the call's route; undefined if the settings of the service apply. */
	readonly rule?: CallRule;
	/** Priority of the caller's organisation; undefined = that of the route. */
	readonly priority?: number;
};

/** Outcome of one call. */
export type CallRecord = {
	readonly planned: PlannedCall;
	endedAt: Instant | undefined;
	/** The caller received a complete answer without a server error before the call's timeout. */
	isGood: boolean;
	isRefused: boolean;
	/** Time after which the caller may retry; set only if the call was refused as not run. */
	retryAfterMilliseconds?: Milliseconds;
	/** Number of times that a backend server began to run the call. Runs beyond the first are wasted work. */
	starts: number;
};

/** A service of a scenario and the number of its backend servers. */
export type ScenarioService = {
	readonly name: string;
	readonly servers: number;
	/** Offered load as a fraction of the capacity of the service's backend servers. */
	readonly load: number;
	readonly priority?: number;
};

/** A kind of call; `share` is its fraction of all calls. */
export type CallKind = {
	readonly path: string;
	readonly method: string;
	readonly share: number;
	readonly work: Milliseconds;
	readonly timeout: Milliseconds;
};

/** Faults that a scenario can inject into a running backend server. */
export type ServerControl = {
	/** 1 = full speed, 0.1 = ten times slower. Applies to running calls at once. */
	setSpeed(speed: number): void;
	/** Answers 500 at once without running anything. */
	setFailingFast(isFailing: boolean): void;
	/** Replaces the load reports by the result of `override`; undefined = reports show the actual load. */
	setReportOverride(override: ((actual: LoadReport) => LoadReport) | undefined): void;
	/** Ends the process: connections are reset, calls in flight are lost, and new connections are refused. */
	crash(): void;
	/** Starts a new process after a crash. */
	restart(): void;
	/** Adds calls that no VM has sent. They occupy slots and are counted in load reports. */
	addForeignCalls(count: number, work: Milliseconds): void;
};

/** Interface through which a scenario schedules its faults. */
export type ScenarioControl = {
	readonly servers: readonly ServerControl[];
	readonly random: RandomSource;
	at(instant: Instant, action: () => void): void;
	/** Replaces the process of one VM. The old process completes its calls in flight. */
	replaceVm(index: number): void;
};

/** A load and the faults that are injected during the run. */
export type Scenario = {
	readonly name: string;
	readonly services: readonly ScenarioService[];
	readonly kinds: readonly CallKind[];
	/** Factor on the load of each service at an instant; at most 4. */
	readonly loadFactorAt: (instant: Instant) => number;
	/** Fraction of the calls that one caller sends through one VM; 0 = all calls are spread evenly. */
	readonly heavyCallerFraction: number;
	/** Whether all services run on the backend servers of the first service. */
	readonly sharesServers?: boolean;
	readonly hasReportsOnAnswers: boolean;
	/** Age of the load figures in a report at the moment at which the report is made. */
	readonly reportLag: Milliseconds;
	/** Whether the load exceeds the capacity. Percentiles then cover good answers only; otherwise a failed call counts with its timeout. */
	readonly isOverloaded: boolean;
	readonly scheduleFaults: (control: ScenarioControl) => void;
	/** Duration of the arrivals in virtual time. */
	readonly milliseconds: Milliseconds;
};

/** A policy under comparison; creates the call engine of one VM. */
export type Policy = {
	readonly name: string;
	/** `measuring.tailWeight` of the declared services. */
	readonly tailWeight: number;
	makeEngine(random: RandomSource, dataCentre: string): CallEngine;
};

/** Figures of one run. Latencies are in milliseconds. */
export type RunFigures = {
	readonly scenario: string;
	readonly policy: string;
	readonly seed: number;
	readonly calls: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Lower bound of p99 for any policy: the work of the calls plus the shortest round trip. */
	readonly floorP99: number;
	/** p99 of the kind of call with the least work. */
	readonly shortP99: number;
	/** p99 over good answers only. */
	readonly goodP99: number;
	/** Work of the calls with good answers as a fraction of the capacity of all backend servers. */
	readonly goodput: number;
	/** Fraction of all calls that received a good answer. */
	readonly goodPart: number;
	readonly refusedPart: number;
	/** Fraction of the refusals that were decided within 1 ms of the call's arrival. */
	readonly promptRefusals: number;
	readonly refusalP99: number;
	/** Slot time of work whose answer reached no caller, as a fraction of all slot time used. */
	readonly wastedWork: number;
	/** Load probes per second and backend server, from all VMs together. */
	readonly measuringRate: number;
	/** Maximum number of load probes at one backend server in one window, as a fraction of the budget. */
	readonly measuringPeak: number;
	/** Calls at the busiest backend server divided by the mean of its service. */
	readonly worstShare: number;
	/** Load updates to peers per second, from all VMs together. */
	readonly updateRate: number;
	/** Fraction of good answers among the calls to the most important service, without those of the heavy caller. */
	readonly lightGoodPart: number;
	/** Elapsed real time of the run per call in microseconds, for all 16 VMs and the model. */
	readonly microsecondsPerCall: number;
};

/** Data centres of the model, and one-way latencies within a data centre and between two. */
export const dataCentres = ['north', 'middle', 'south'] as const;
export const localLatencyMilliseconds: Milliseconds = 0.1;
export const remoteLatencyMilliseconds: Milliseconds = 1.5;

/** Number of VMs, and of share slots of the fleet: enough for old and new VMs during a replacement. */
export const vmCount = 16;
export const shareSlots = 24;

/** Load probe budget of the declared services. The window is shorter than the default, so that a run contains several windows. */
export const loadProbeBudget = {callsPerWindow: 24, windowMilliseconds: 1000} as const;

export type ModelService = Service;
