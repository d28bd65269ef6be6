/** Extrapolates the measured linear costs to the sizes of the target. */
import {type ControlResults} from '../benchmark/control/types.ts';
import {daySeconds, target} from '../benchmark/capacity/sizes.ts';
import {type CapacityResults} from '../benchmark/capacity/types.ts';
import {type PairedResult, type PathResults} from '../benchmark/path/types.ts';
import {maxHistoryCharacters, maxKeptCharacters} from '../src/common/fleet/configuration/head.ts';

/** Planned load of a VM as a share of its measured saturation. */
export const maxLoadShare = 0.6;

/** Smallest number of VMs that carry one service (src/daemon/wiring.ts). */
export const minSubsetSize = 16;

/** Services that one caller calls; an assumption for lack of a figure. Every backend server is also a caller of deeper levels. */
const servicesPerCaller = 10;

/** How long a caller caches an address answer (default of the settings). */
const addressTtlSeconds = 5;

/** Reads of the engine's load, for gauges and for address answers: two every half second (src/daemon/daemon.ts). */
export const loadReadsPerSecond = 4;

/** The current fleet has 24 share slots for 16 VMs. */
const slotsPerVm = 1.5;

/** Default measuring budget of a service: 240 calls in 10 s. */
const measuringCallsPerSecond = 24;

/** Connections to one backend server that all slots share: 250, less a reserve of one fifth. */
const sharedConnections = 200;

/** The stored benchmark results. */
export type StoredResults = {readonly path: PathResults; readonly capacity: CapacityResults; readonly control: ControlResults};

/** Projection of one set of results to the target. Core shares are fractions of one core. */
export class Projection {
	readonly vms: number;
	readonly changesPerSecond = target.changesPerDay / daySeconds;
	readonly callsPerSecondPerVm: number;
	private readonly _results: StoredResults;

	constructor(results: StoredResults) {
		this._results = results;
		this.callsPerSecondPerVm = maxLoadShare * this.pairedResult('reads, saturation').through.callsPerSecond;
		this.vms = Math.ceil(target.callsPerSecond / this.callsPerSecondPerVm);
	}

	get results(): StoredResults {
		return this._results;
	}

	pairedResult(name: string): PairedResult {
		return this._results.path.paired.find(result => result.name === name)!;
	}

	/** Value of the named linear cost at a size. */
	valueAt(name: string, size: number): number {
		const slope = this._results.capacity.slopes.find(candidate => candidate.name === name)!;
		return slope.fixed + (slope.slope * size);
	}

	/** The named linear cost as a formula. */
	formula(name: string): string {
		const slope = this._results.capacity.slopes.find(candidate => candidate.name === name)!;
		return `${slope.fixed.toPrecision(3)} + ${slope.slope.toPrecision(3)} × ${slope.against}`;
	}

	/** Services that one VM carries if each service is carried by the smallest subset of VMs. */
	get carriedServices(): number {
		return target.services * minSubsetSize / this.vms;
	}

	get carriedBackendServers(): number {
		return this.carriedServices * target.backendServers / target.services;
	}

	get membershipBytesOutPerSecond(): number {
		return this.valueAt('membership.bytesOutPerSecond', this.vms) + (this._results.capacity.transport.overheadBytesPerMessage * this.messagesOutPerSecond);
	}

	get membershipBytesInPerSecond(): number {
		return this.valueAt('membership.bytesInPerSecond', this.vms) + (this._results.capacity.transport.overheadBytesPerMessage * this.messagesOutPerSecond);
	}

	get messagesOutPerSecond(): number {
		return this.valueAt('membership.messagesOutPerSecond', this.vms);
	}

	/** Cost of membership: engine, codec and gRPC. */
	get membershipCoreShare(): number {
		const transport = 2 * this.messagesOutPerSecond * this._results.capacity.transport.processorMicrosecondsPerMessage / 1e6;
		return this.valueAt('membership.engineCoreShare', this.vms) + Math.max(0, this.valueAt('membership.codecCoreShare', this.vms)) + transport;
	}

	/** Cost of configuration changes in the fleet engine and the call engine. */
	changeCoreShare(backendServers: number): number {
		return this.changesPerSecond * (this.valueAt('configuration.changeMilliseconds', backendServers) + this.valueAt('calls.configureMilliseconds', backendServers)) / 1000;
	}

	/** Cost of the periodic search for backend servers to measure, and of load reads. */
	upkeepCoreShare(backendServers: number): number {
		return Math.max(0, this.valueAt('calls.idleCoreShare', backendServers)) + (loadReadsPerSecond * Math.max(0, this.valueAt('calls.loadMilliseconds', backendServers)) / 1000);
	}

	get addressAnswersPerSecond(): number {
		return target.backendServers * servicesPerCaller / addressTtlSeconds / this.vms;
	}

	get addressAnswerCoreShare(): number {
		return this.addressAnswersPerSecond * this.valueAt('addresses.microseconds', this.vms) / 1e6;
	}

	controlCoreShare(backendServers: number): number {
		return this.membershipCoreShare + this.changeCoreShare(backendServers) + this.upkeepCoreShare(backendServers) + this.addressAnswerCoreShare;
	}

	controlBytes(backendServers: number): number {
		return this.valueAt('membership.bytes', this.vms) + Math.max(0, this.valueAt('configuration.bytes', backendServers)) + this.callEngineBytes(backendServers);
	}

	/** Memory of control and of the process itself: code, libraries and initial state. */
	processBytes(backendServers: number): number {
		return this._results.path.memory.startBytes + this.controlBytes(backendServers);
	}

	/** Memory of the call engine: state of declared backend servers and of services that are called. */
	callEngineBytes(backendServers: number): number {
		const services = backendServers * target.services / target.backendServers;
		return this.valueAt('calls.stateBytes', backendServers) + Math.max(0, this.valueAt('calls.activeServiceBytes', services));
	}

	get shareSlots(): number {
		return Math.ceil(this.vms * slotsPerVm);
	}

	/** Time between two measuring calls of one VM to one backend server, with the default budget of a service. */
	get measuringIntervalSeconds(): number {
		return this.shareSlots / measuringCallsPerSecond;
	}

	get connectionsPerSlot(): number {
		return sharedConnections / this.shareSlots;
	}

	/** Each change sends the whole head, whose history grows up to the maximum length and is then cut to the kept length. */
	get watcherBytesPerSecond(): number {
		return this.changesPerSecond * (maxKeptCharacters + maxHistoryCharacters) / 2;
	}
}

