/** What the parts of the policy benchmark tell one another. */
import {type CallEngine, type CallRule, type LoadReport} from '../../src/common/calls/types.ts';
import {type Service} from '../../src/common/model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../src/common/model/units.ts';

/** One call of the workload, the same for every policy under one seed. */
export type PlannedCall = {
	readonly at: Instant;
	readonly service: string;
	readonly caller: string;
	readonly vm: number;
	readonly method: string;
	readonly path: string;
	/** Time it takes in one slot of a backend server at full speed. */
	readonly work: Milliseconds;
	readonly timeout: Milliseconds;
	/** What its route says; undefined where the service decides. */
	readonly rule?: CallRule;
};

/** What one call came to. */
export type CallRecord = {
	readonly planned: PlannedCall;
	endedAt: Instant | undefined;
	/** A whole answer without a server error, within the caller's time. */
	isGood: boolean;
	isRefused: boolean;
	/** Refused as not run, with the time after which to come back. */
	retryAfter?: Milliseconds;
	/** Times it was begun on a backend server; more than one counts as wasted work. */
	starts: number;
};

/** A service of a scenario and the backend servers that carry it. */
export type ScenarioService = {
	readonly name: string;
	readonly servers: number;
	/** Part of the scenario's calls; the load is meant per service where `load` is given. */
	readonly load: number;
	readonly priority?: number;
};

/** One kind of call. */
export type CallKind = {
	readonly path: string;
	readonly method: string;
	readonly share: number;
	readonly work: Milliseconds;
	readonly timeout: Milliseconds;
};

/** What a scenario may do to a backend server while it runs. */
export type ServerControl = {
	/** 1 = full speed, 0.1 = ten times slower; running calls feel it at once. */
	setSpeed(speed: number): void;
	/** Answers 500 at once without running anything. */
	setFailingFast(isFailing: boolean): void;
	/** What it says of its load instead of the truth. */
	setReport(lie: ((truth: LoadReport) => LoadReport) | undefined): void;
	/** The process dies: connections are reset, calls in flight are lost, new ones refused. */
	crash(): void;
	/** It comes back as a new process. */
	restart(): void;
	/** A neighbour's calls come in: they take slots and are counted in reports, but no VM knows of them. */
	addForeignCalls(count: number, work: Milliseconds): void;
};

/** What a scenario may use to bring its faults about. */
export type ScenarioControl = {
	readonly servers: readonly ServerControl[];
	readonly random: RandomSource;
	at(instant: Instant, action: () => void): void;
	/** Replaces one VM's process; the old one ends its calls in flight. */
	replaceVm(index: number): void;
};

/** A load and its faults. */
export type Scenario = {
	readonly name: string;
	readonly services: readonly ScenarioService[];
	readonly kinds: readonly CallKind[];
	/** Load at an instant as a factor on each service's load. */
	readonly factorAt: (instant: Instant) => number;
	/** Part of the calls that come from one caller through one VM; 0 = all spread alike. */
	readonly heavyCallerPart: number;
	/** All services are carried by the backend servers of the first. */
	readonly sharesServers?: boolean;
	readonly hasReportsOnAnswers: boolean;
	/** Age of the truth when a report is made of it. */
	readonly reportLag: Milliseconds;
	/** Above capacity the tail is that of good answers; else a failed call counts as its whole timeout. */
	readonly isOverloaded: boolean;
	readonly prepare: (control: ScenarioControl) => void;
	/** Longest run in virtual time. */
	readonly milliseconds: Milliseconds;
};

/** A policy: makes the decider of one VM. */
export type Policy = {
	readonly name: string;
	/** Weight of the tail in the measuring setting that its services are declared with. */
	readonly tailWeight: number;
	makeEngine(random: RandomSource, dataCentre: string): CallEngine;
};

/** Figures of one run. */
export type RunFigures = {
	readonly scenario: string;
	readonly policy: string;
	readonly seed: number;
	readonly calls: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** p99 that no policy can get below: the calls' own work and the shortest way. */
	readonly floorP99: number;
	/** p99 of the kind with the least work. */
	readonly shortP99: number;
	/** p99 over good answers alone. */
	readonly goodP99: number;
	/** Good answers as a part of what all backend servers could carry in the time. */
	readonly goodput: number;
	/** Part of all calls that got a good answer. */
	readonly goodPart: number;
	readonly refusedPart: number;
	/** Part of the refusals that were decided within a millisecond of the call's arrival. */
	readonly promptRefusals: number;
	readonly refusalP99: number;
	/** Slot time spent on work that nobody got the answer of, as a part of all slot time spent. */
	readonly wastedWork: number;
	/** Measuring calls a second a backend server, over all VMs. */
	readonly measuringRate: number;
	/** Most measuring calls in any window at any backend server, as a part of the budget. */
	readonly measuringPeak: number;
	/** Calls at the busiest backend server over the mean. */
	readonly worstShare: number;
	/** Updates to peers a second from all VMs together. */
	readonly updateRate: number;
	/** Good answers' part of the calls of the most important service, the heavy caller's left out. */
	readonly lightGoodPart: number;
	/** Clock time of the run for each call, all 16 VMs and the model included, in microseconds. */
	readonly microsecondsPerCall: number;
};

/** Data centres of the model, and what a call between two of them takes one way. */
export const dataCentres = ['north', 'middle', 'south'] as const;
export const localLatency: Milliseconds = 0.1;
export const remoteLatency: Milliseconds = 1.5;

/** VMs of the model, and share slots of the fleet (old and new VMs fit side by side). */
export const vmCount = 16;
export const shareSlots = 24;

/** The measuring budget that services are declared with: shorter than the default window, so that a run holds several. */
export const measuringBudget = {callsPerWindow: 24, windowMilliseconds: 1000} as const;

/** A service as the model declares it. */
export type ModelService = Service;
