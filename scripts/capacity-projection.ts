/** Lays the measured slopes on the sizes of the target. */
import {type ControlResults} from '../benchmark/control/types.ts';
import {daySeconds, target} from '../benchmark/capacity/sizes.ts';
import {type CapacityResults} from '../benchmark/capacity/types.ts';
import {type PairedResult, type PathResults} from '../benchmark/path/types.ts';
import {maxHistoryCharacters, maxKeptCharacters} from '../src/common/fleet/configuration/head.ts';

/** A VM is loaded up to this part of its measured saturation. */
export const loadedPart = 0.6;

/** VMs that carry one service at least (src/daemon/wiring.ts). */
export const smallestSubset = 16;

/** Services that one caller calls: assumed, since nobody has told. Every backend server is a caller of deeper levels. */
const servicesOfCaller = 10;

/** How long a caller keeps an answer (default of the settings). */
const keepSeconds = 5;

/** Reads of the engine's load for gauges and answers: two each half second (src/daemon/daemon.ts). */
export const loadReadsPerSecond = 4;

/** Today's 24 slots for 16 VMs. */
const slotsPerVm = 1.5;

/** Default budget of a service: 240 calls in 10 s. */
const measuringCallsPerSecond = 24;

/** 250 connections of a backend server, less the reserve of a fifth. */
const connectionsForSlots = 200;

/** Both stored results. */
export type StoredResults = {readonly path: PathResults; readonly capacity: CapacityResults; readonly control: ControlResults};

/** One set of results at the size of the target. */
export class Projection {
	readonly vms: number;
	readonly changesPerSecond = target.changesPerDay / daySeconds;
	readonly rateOfVm: number;
	private readonly _results: StoredResults;

	constructor(results: StoredResults) {
		this._results = results;
		this.rateOfVm = loadedPart * this.paired('reads, saturation').through.callsPerSecond;
		this.vms = Math.ceil(target.callsPerSecond / this.rateOfVm);
	}

	get results(): StoredResults {
		return this._results;
	}

	paired(name: string): PairedResult {
		return this._results.path.paired.find(result => result.name === name)!;
	}

	/** Value of a slope at a size. */
	at(name: string, size: number): number {
		const slope = this._results.capacity.slopes.find(candidate => candidate.name === name)!;
		return slope.fixed + (slope.slope * size);
	}

	/** The line as text. */
	formula(name: string): string {
		const slope = this._results.capacity.slopes.find(candidate => candidate.name === name)!;
		return `${slope.fixed.toPrecision(3)} + ${slope.slope.toPrecision(3)} × ${slope.against}`;
	}

	/** Backend servers of the services that one VM carries, if each service is carried by the smallest subset. */
	get carriedServices(): number {
		return target.services * smallestSubset / this.vms;
	}

	get carriedBackendServers(): number {
		return this.carriedServices * target.backendServers / target.services;
	}

	get membershipBytesOut(): number {
		return this.at('membership.bytesOutPerSecond', this.vms) + (this._results.capacity.transport.overheadBytesPerMessage * this.messagesOut);
	}

	get membershipBytesIn(): number {
		return this.at('membership.bytesInPerSecond', this.vms) + (this._results.capacity.transport.overheadBytesPerMessage * this.messagesOut);
	}

	get messagesOut(): number {
		return this.at('membership.messagesOutPerSecond', this.vms);
	}

	/** Engine, codec and gRPC. */
	get membershipCore(): number {
		const transport = 2 * this.messagesOut * this._results.capacity.transport.processorMicrosecondsPerMessage / 1e6;
		return this.at('membership.engineCoreShare', this.vms) + Math.max(0, this.at('membership.codecCoreShare', this.vms)) + transport;
	}

	/** Changes: the fleet engine's part and the call engine's. */
	changeCore(backendServers: number): number {
		return this.changesPerSecond * (this.at('configuration.changeMilliseconds', backendServers) + this.at('calls.configureMilliseconds', backendServers)) / 1000;
	}

	/** Looks at backend servers that might be measured, and load for gauges. */
	upkeepCore(backendServers: number): number {
		return Math.max(0, this.at('calls.idleCoreShare', backendServers)) + (loadReadsPerSecond * Math.max(0, this.at('calls.loadMilliseconds', backendServers)) / 1000);
	}

	get answersPerSecond(): number {
		return target.backendServers * servicesOfCaller / keepSeconds / this.vms;
	}

	get answersCore(): number {
		return this.answersPerSecond * this.at('addresses.microseconds', this.vms) / 1e6;
	}

	controlCore(backendServers: number): number {
		return this.membershipCore + this.changeCore(backendServers) + this.upkeepCore(backendServers) + this.answersCore;
	}

	controlBytes(backendServers: number): number {
		return this.at('membership.bytes', this.vms) + Math.max(0, this.at('configuration.bytes', backendServers)) + this.callEngineBytes(backendServers);
	}

	/** With the process itself: its code, libraries and what it holds at the start. */
	processBytes(backendServers: number): number {
		return this._results.path.memory.startBytes + this.controlBytes(backendServers);
	}

	/** State of declared backend servers and of services that are called. */
	callEngineBytes(backendServers: number): number {
		const services = backendServers * target.services / target.backendServers;
		return this.at('calls.stateBytes', backendServers) + Math.max(0, this.at('calls.activeServiceBytes', services));
	}

	get shareSlots(): number {
		return Math.ceil(this.vms * slotsPerVm);
	}

	/** Between two measuring calls of one VM to one backend server, with the default budget of a service. */
	get measuringSeconds(): number {
		return this.shareSlots / measuringCallsPerSecond;
	}

	get connectionsOfSlot(): number {
		return connectionsForSlots / this.shareSlots;
	}

	/** The head is sent whole with each change; its history moves between the kept and the largest length. */
	get watcherBytesPerSecond(): number {
		return this.changesPerSecond * (maxKeptCharacters + maxHistoryCharacters) / 2;
	}
}

