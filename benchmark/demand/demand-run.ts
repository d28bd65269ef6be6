/** Simulates the call engines of many VMs in virtual time: neighbours slow the backend servers down, and callers retry at most once. */
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {mergeDemand} from '../../src/common/calls/admission/capacity-sharing.ts';
import {type CallTuning} from '../../src/common/calls/tuning.ts';
import {type BackendServer, backendServerSchema, serviceSchema} from '../../src/common/model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../src/common/model/units.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {ModelServer, VirtualTime} from '../policy/model-server.ts';
import {type DemandReport, ModelVm} from '../policy/model-vm.ts';
import {type CallRecord, type PlannedCall} from '../policy/types.ts';
import {
	type CallerRequest, type DemandFigures, earnedFraction, isInTime, worstWindows,
} from './demand-figures.ts';
import {type DemandControl, type DemandKind, type DemandScenario} from './scenarios.ts';

/** One-way latencies: within a data centre, between data centres, and between a caller and a VM. */
const localLatencyMilliseconds: Milliseconds = 0.1;
const remoteLatencyMilliseconds: Milliseconds = 1.4;
const callerLatencyMilliseconds: Milliseconds = 3;

/** Slots of each backend server unless the scenario sets them. */
const defaultSlots = 6;

/** Interval at which the holder of the merged figures sends them to the VMs, as the answer to a report would. */
const summaryMilliseconds: Milliseconds = 200;

/** Calls sent before this instant are not counted, since the engines start without load data. */
const warmUpMilliseconds: Milliseconds = 1500;

/** Maximum delay of a caller's retry, as a fraction of the time left until the call's timeout. */
const maxRetryDelayFraction = 1 / 3;

/** Weights in the users' score: value earned over the whole run, value earned in its worst windows, and fraction of calls answered at all. */
const earnedWeight = 0.4;
const worstWindowsWeight = 0.4;
const servedWeight = 0.2;

/** Sigma of the log-normal work of a kind of call. */
const workSigma = 0.3;

type PlacedServer = {readonly server: ModelServer; readonly declared: BackendServer; readonly dataCentre: string};

export class DemandRun {
	private readonly _scenario: DemandScenario;
	private readonly _seed: number;
	/** Chooses the VM that receives a retry. */
	private readonly _retryRandom: RandomSource;
	private readonly _time = new VirtualTime();
	private readonly _servers = new Map<string, PlacedServer>();
	private readonly _vms: ModelVm[] = [];
	/** Latest report of each VM. */
	private readonly _reports = new Map<number, {readonly at: Instant; readonly report: DemandReport}>();
	private readonly _priorities = new Map<string, number>();
	private readonly _evacuated = new Set<string>();
	private _version = 1;
	private readonly _requests: CallerRequest[] = [];
	private _loadProbes = 0;
	private _attempts = 0;
	private _lastCallId = 0;
	private readonly _memberHash: ((text: string) => number) | undefined;

	/** `memberHash` undefined = the VMs use no subsets. */
	constructor(scenario: DemandScenario, tuning: Partial<CallTuning>, seed: number, memberHash?: (text: string) => number) {
		this._scenario = scenario;
		this._memberHash = memberHash;
		this._seed = seed;
		this._retryRandom = seededRandom(seed + 7);
		this._addServers();
		for (let index = 0; index < scenario.vms; index++) {
			this._vms.push(this._makeVm(index, tuning, seed));
		}
	}

	run(): DemandFigures {
		for (const [index, kind] of this._scenario.kinds.entries()) {
			this._planArrivals(kind, seededRandom((this._seed * 100) + index));
		}

		for (const {at, act} of this._scenario.actions ?? []) {
			this._time.at(at, () => {
				act(this._control());
			});
		}

		if (this._scenario.summaries !== undefined) {
			this._sendSummaries();
		}

		this._time.run(this._scenario.milliseconds + (2 * Math.max(...this._scenario.kinds.map(kind => kind.timeout))));
		return this._figures();
	}

	private _addServers(): void {
		for (const service of this._scenario.services) {
			for (let index = 0; index < service.servers; index++) {
				const name = `${service.name}-${index}`;
				const dataCentre = `hall-${index % this._scenario.dataCentres}`;
				const server = new ModelServer(this._time, name, this._slots, 0, this._scenario.behaviour);
				this._servers.set(name, {
					server, dataCentre, declared: backendServerSchema.parse({
						kind: 'backend-server', name, service: service.name, address: '127.0.0.1', port: 10_000 + this._servers.size, dataCentre, slots: this._slots, connectionLimit: 240,
					}),
				});
				this._scheduleNeighbours(server, seededRandom((this._seed * 10_000) + this._servers.size));
			}
		}
	}

	/**
	 * Schedules neighbours that alternately slow the backend server down and pause. The schedule depends only on the seed; the mean
	 * pause follows from the neighbours' share of the time.
	 */
	private _scheduleNeighbours(server: ModelServer, random: RandomSource): void {
		const {share, slowdown, milliseconds} = this._scenario.neighbours;
		const change = (isSlow: boolean): void => {
			server.setSpeed(isSlow ? 1 / slowdown : 1);
			const mean = isSlow ? milliseconds : milliseconds * (1 - share) / share;
			this._time.at(this._time.now - (Math.log(1 - random.next()) * mean), () => {
				if (this._time.now < this._scenario.milliseconds * 2) {
					change(!isSlow);
				}
			});
		};

		change(random.next() < share);
	}

	private _makeVm(index: number, tuning: Partial<CallTuning>, seed: number): ModelVm {
		const dataCentre = `hall-${index % this._scenario.dataCentres}`;
		const vm = new ModelVm(new DefaultCallEngine({
			random: seededRandom((seed * 1000) + index),
			settings: {dataCentre, notRunStatuses: new Set([503])},
			tuning,
			reportsDemand: this._scenario.summaries !== undefined,
			...(this._memberHash === undefined ? {} : {memberHash: this._memberHash}),
		}), {
			time: this._time,
			serverOf: identity => this._servers.get(identity)!.server,
			latencyTo: identity => this._servers.get(identity)!.dataCentre === dataCentre ? localLatencyMilliseconds : remoteLatencyMilliseconds,
			hasReportsOnAnswers: true,
			onLoadProbe: () => {
				this._loadProbes++;
			},
			onLoadUpdate() {
				// VMs on the platform exchange no load updates.
			},
			onDemandReport: report => {
				this._reports.set(index, {at: this._time.now, report});
			},
			onWastedWork() {
				// The number of attempts is counted instead.
			},
		});
		vm.handle({
			type: 'shares', shares: {
				loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: Math.min(1, 2 / this._scenario.vms), vmCount: this._scenario.vms, members: {own: `vm-${index}`, byDataCentre: this._vmsByDataCentre()},
			},
		});
		this._configure(vm);
		return vm;
	}

	private get _slots(): number {
		return this._scenario.slots ?? defaultSlots;
	}

	private _configure(vm: ModelVm): void {
		vm.handle({
			type: 'configured', configuration: {
				version: this._version,
				evacuatedDataCentres: this._evacuated,
				services: new Map(this._scenario.services.map(({name}) => [name, serviceSchema.parse({
					kind: 'service', name, retryShare: 0.2, measuring: {
						callsPerWindow: 600, windowMilliseconds: 10_000, mode: 'on-demand', path: '/load', tailWeight: 1,
					},
				})])),
				backendServers: new Map(Array.from(this._servers, ([name, {declared}]) => [name, declared])),
				sharingRules: [],
			},
		});
	}

	private _control(): DemandControl {
		return {
			killVms: isChosen => {
				for (const [index, vm] of this._vms.entries()) {
					if (isChosen(index)) {
						vm.kill();
					}
				}
			},
			evacuate: dataCentre => {
				this._evacuated.add(dataCentre);
				this._version++;
				for (const vm of this._vms) {
					this._configure(vm);
				}
			},
			setPriority: (caller, priority) => {
				this._priorities.set(caller, priority);
			},
			restartServers: (speed, milliseconds) => {
				for (const {server} of this._servers.values()) {
					server.crash();
					server.restart();
					server.setSpeed(speed);
					this._time.at(this._time.now + milliseconds, () => {
						server.setSpeed(1);
					});
				}
			},
		};
	}

	/** Sends the sums of the latest reports of all VMs, as long as those are less than a second old. */
	private _sendSummaries(): void {
		const {delay, reach} = this._scenario.summaries!;
		const {now} = this._time;
		const parts = [...this._reports.values()].filter(({at}) => now - at < 1000).flatMap(({report}) => report.services);
		const services = this._scenario.services.flatMap(({name}) => {
			const ofService = parts.filter(({service}) => service === name);
			return ofService.some(({isShort}) => isShort) ? [{service: name, ...mergeDemand(ofService)}] : [];
		});
		this._time.at(now + delay, () => {
			for (const [index, vm] of this._vms.entries()) {
				if (services.length > 0 && reach(index, now)) {
					vm.handle({type: 'demand-summary', ageMilliseconds: delay, services});
				}
			}
		});
		if (now < this._scenario.milliseconds) {
			this._time.at(now + summaryMilliseconds, () => {
				this._sendSummaries();
			});
		}
	}

	private _connectionsACall(): number {
		const from = this._scenario.milliseconds / 2;
		const opened = this._vms.reduce((sum, vm) => sum + vm.connections.openedAt.filter(at => at >= from).length, 0);
		return opened / this._requests.filter(({sentAt}) => sentAt >= from).length;
	}

	private _vmsByDataCentre(): Map<string, string[]> {
		const names = Array.from({length: this._scenario.vms}, (_, index) => index);
		const {dataCentres} = this._scenario;
		return new Map(Array.from({length: dataCentres}, (_, hall) => [
			`hall-${hall}`, names.filter(index => index % dataCentres === hall).map(index => `vm-${index}`),
		]));
	}

	private _maxLoadRatio(): number {
		let ratio = 0;
		const groups = new Map<string, number[]>();
		for (const {server, declared} of this._servers.values()) {
			const group = `${declared.service} ${declared.dataCentre}`;
			groups.set(group, [...groups.get(group) ?? [], server.arrivals]);
		}

		for (const arrivals of groups.values()) {
			const mean = arrivals.reduce((sum, one) => sum + one, 0) / arrivals.length;
			ratio = Math.max(ratio, Math.max(...arrivals) / Math.max(1, mean));
		}

		return ratio;
	}

	private _planArrivals(kind: DemandKind, random: RandomSource): void {
		const maxFactor = 3;
		const rate = kind.callsPerSecond * maxFactor / 1000;
		for (let at = 0; at < this._scenario.milliseconds; at -= Math.log(1 - random.next()) / rate) {
			if (random.next() * maxFactor < this._scenario.loadFactorAt(at)) {
				const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
				const request: CallerRequest = {
					kind,
					vm: this._chooseVm(kind, random),
					work: kind.work * Math.exp((workSigma * normal) - (workSigma * workSigma / 2)),
					sentAt: at,
					retries: 0,
					refusals: 0,
					answeredAt: undefined,
				};
				this._requests.push(request);
				this._time.at(at + callerLatencyMilliseconds, () => {
					this._send(request, request.vm);
				});
			}
		}
	}

	private _chooseVm(kind: DemandKind, random: RandomSource): number {
		const chosen = Math.floor(random.next() * this._vms.length);
		return kind.arrivesAt?.(chosen) === false ? this._chooseVm(kind, random) : chosen;
	}

	private _send(request: CallerRequest, vm: number): void {
		const {kind} = request;
		if (this._vms[vm]!.isDead) {
			this._send(request, this._chooseVm(kind, this._retryRandom));
			return;
		}

		const priority = this._priorities.get(kind.caller ?? '') ?? kind.priority;
		const planned: PlannedCall = {
			at: this._time.now, service: kind.service, caller: kind.caller ?? 'all', vm, method: kind.method, path: kind.path, work: request.work,
			timeout: kind.timeout - (this._time.now - request.sentAt), rule: kind.rule, ...(priority === undefined ? {} : {priority}),
		};
		const record: CallRecord = {
			planned, endedAt: undefined, isGood: false, isRefused: false, starts: 0,
		};
		this._lastCallId++;
		this._vms[vm]!.startCall(this._lastCallId, record, ended => {
			this._attempts += ended.starts;
			this._handleOutcome(request, ended);
		});
	}

	/** A caller retries once: after the time in `retry-after` of a refusal, or at once after any other failure of an idempotent call. */
	private _handleOutcome(request: CallerRequest, record: CallRecord): void {
		const {now} = this._time;
		if (record.isGood) {
			request.answeredAt = now + callerLatencyMilliseconds;
			return;
		}

		const remainingMilliseconds = request.sentAt + request.kind.timeout - now;
		const hasRetryAfter = record.retryAfterMilliseconds !== undefined;
		request.refusals += hasRetryAfter ? 1 : 0;
		if (request.retries === 0 && remainingMilliseconds > 0 && (hasRetryAfter || request.kind.rule.isIdempotent)) {
			request.retries++;
			this._time.at(now + (2 * callerLatencyMilliseconds) + Math.min(record.retryAfterMilliseconds ?? 0, remainingMilliseconds * maxRetryDelayFraction), () => {
				this._send(request, this._chooseVm(request.kind, this._retryRandom));
			});
		}
	}

	/** Calls sent from `from` to `until` of the accepted kinds: number sent, and fraction answered within the objective. */
	outcomes(accept: (kind: DemandKind) => boolean, from: Instant, until: Instant): {readonly sent: number; readonly inTime: number} {
		const requests = this._requests.filter(request => accept(request.kind) && request.sentAt >= from && request.sentAt < until);
		return {sent: requests.length, inTime: requests.filter(request => isInTime(request)).length / requests.length};
	}

	private _figures(): DemandFigures {
		const requests = this._requests.filter(request => request.sentAt >= warmUpMilliseconds);
		const fractionOf = (predicate: (request: CallerRequest) => boolean) => requests.filter(predicate).length / requests.length;
		const latencies = requests.filter(request => request.answeredAt !== undefined).map(request => request.answeredAt! - request.sentAt).toSorted((a, b) => a - b);
		const earned = earnedFraction(requests);
		const worst = worstWindows(requests);
		const served = fractionOf(request => request.answeredAt !== undefined);
		return {
			worth: (earnedWeight * earned) + (worstWindowsWeight * worst) + (servedWeight * served),
			earned,
			worstWindows: worst,
			served,
			late: fractionOf(request => request.answeredAt !== undefined && !isInTime(request)),
			refused: fractionOf(request => request.answeredAt === undefined && request.refusals > 0),
			refusedAgain: fractionOf(request => request.answeredAt === undefined && request.refusals > 0 && request.retries > 0),
			attemptsACall: this._attempts / this._requests.length,
			measuringsACall: this._loadProbes / this._requests.length,
			connectionsACall: this._connectionsACall(),
			maxLoadRatio: this._maxLoadRatio(),
			p99: latencies[Math.floor(latencies.length * 0.99)] ?? Infinity,
		};
	}
}
