/** Runs a scenario: the call engines of all VMs send its calls to model backend servers, in virtual time. */
import {type CallConfiguration, type FleetShares, type LoadUpdate} from '../../src/common/calls/types.ts';
import {backendServerSchema, serviceSchema} from '../../src/common/model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../src/common/model/units.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {ModelServer, VirtualTime} from './model-server.ts';
import {ModelVm} from './model-vm.ts';
import {
	type CallKind, type CallRecord, type PlannedCall, type Policy, type RunFigures, type Scenario, type ScenarioService,
	dataCentres, localLatencyMilliseconds, loadProbeBudget, remoteLatencyMilliseconds, shareSlots, vmCount,
} from './types.ts';
import {figuresOf} from './figures.ts';

const slotsPerServer = 6;

/** Calls that arrive before this instant are not counted, since the engines start without load data. */
const warmUpMilliseconds: Milliseconds = 500;

/** Time after the last arrival in which the calls in flight complete. */
const completionMilliseconds: Milliseconds = 1500;

type PlacedServer = {readonly identity: string; readonly service: string; readonly dataCentre: string; readonly server: ModelServer};

/** One run of one policy with one seed. */
export class Simulation {
	private readonly _scenario: Scenario;
	private readonly _policy: Policy;
	private readonly _seed: number;
	private readonly _time = new VirtualTime();
	private readonly _servers: PlacedServer[] = [];
	private readonly _serverByIdentity = new Map<string, PlacedServer>();
	private readonly _vms: ModelVm[] = [];
	private readonly _shareSlotOfVm: number[] = [];
	private readonly _shareSlotFreeAt: Instant[] = [];
	private readonly _allVms: ModelVm[] = [];
	private readonly _configuration: CallConfiguration;
	private readonly _loadProbeTimes = new Map<string, Instant[]>();
	private _wastedMilliseconds: Milliseconds = 0;
	private _updateCount = 0;
	private _engineCount = 0;

	constructor(scenario: Scenario, policy: Policy, seed: number) {
		this._scenario = scenario;
		this._policy = policy;
		this._seed = seed;
		for (const service of scenario.services) {
			this._addServers(service);
		}

		this._configuration = this._makeConfiguration();
	}

	run(): RunFigures {
		for (let slot = 0; slot < shareSlots; slot++) {
			this._shareSlotFreeAt.push(-Infinity);
		}

		for (let index = 0; index < vmCount; index++) {
			this._shareSlotOfVm.push(index);
			this._vms.push(this._makeVm(index, 0));
		}

		const records = this._planCalls().map((planned): CallRecord => ({
			planned, endedAt: undefined, isGood: false, isRefused: false, starts: 0,
		}));
		for (const [callId, record] of records.entries()) {
			this._time.at(record.planned.at, () => {
				this._vms[record.planned.vm]!.startCall(callId, record);
			});
		}

		this._scenario.scheduleFaults({
			servers: this._servers.map(placed => placed.server),
			random: seededRandom(this._seed + 77),
			at: (instant, action) => {
				this._time.at(instant, action);
			},
			replaceVm: index => {
				this._replaceVm(index);
			},
		});
		const startedAt = performance.now();
		this._time.run(this._scenario.milliseconds + completionMilliseconds);
		const milliseconds = performance.now() - startedAt;
		return figuresOf({
			scenario: this._scenario,
			policy: this._policy.name,
			seed: this._seed,
			records,
			countedFrom: warmUpMilliseconds,
			servers: this._servers.map(placed => ({
				service: placed.service, server: placed.server, loadProbesAt: this._loadProbeTimes.get(placed.identity) ?? [],
			})),
			wastedMilliseconds: this._wastedMilliseconds,
			updateCount: this._updateCount,
			microseconds: 1000 * milliseconds,
		});
	}

	private _addServers(service: ScenarioService): void {
		for (let index = 0; index < service.servers; index++) {
			const identity = `${service.name}-${index}`;
			const placed: PlacedServer = {
				identity,
				service: service.name,
				dataCentre: dataCentres[index % dataCentres.length]!,
				server: this._sharedServer(index) ?? new ModelServer(this._time, identity, slotsPerServer, this._scenario.reportLag),
			};
			this._servers.push(placed);
			this._serverByIdentity.set(identity, placed);
		}
	}

	/** Returns a backend server of the first service if the services of the scenario share their backend servers. */
	private _sharedServer(index: number): ModelServer | undefined {
		return this._scenario.sharesServers ? this._servers[index % this._scenario.services[0]!.servers]?.server : undefined;
	}

	private _makeConfiguration(): CallConfiguration {
		const services = this._scenario.services.map(service => serviceSchema.parse({
			kind: 'service', name: service.name, priority: service.priority, measuring: {...loadProbeBudget, tailWeight: this._policy.tailWeight},
		}));
		return {
			version: 1,
			services: new Map(services.map(service => [service.name, service])),
			backendServers: new Map(this._servers.map((placed, index) => [placed.identity, backendServerSchema.parse({
				kind: 'backend-server',
				name: placed.identity,
				service: placed.service,
				address: '127.0.0.1',
				port: 10_000 + index,
				dataCentre: placed.dataCentre,
				slots: slotsPerServer,
			})])),
			sharingRules: [],
		};
	}

	private _makeVm(index: number, loadProbesFrom: Instant): ModelVm {
		const dataCentre = dataCentres[index % dataCentres.length]!;
		const random = seededRandom((this._seed * 1000) + this._engineCount++);
		const vm: ModelVm = new ModelVm(this._policy.makeEngine(random, dataCentre), {
			time: this._time,
			serverOf: identity => this._serverByIdentity.get(identity)!.server,
			latencyTo: identity => this._serverByIdentity.get(identity)!.dataCentre === dataCentre ? localLatencyMilliseconds : remoteLatencyMilliseconds,
			hasReportsOnAnswers: this._scenario.hasReportsOnAnswers,
			onLoadProbe: (identity, at) => {
				const instants = this._loadProbeTimes.get(identity) ?? [];
				instants.push(at);
				this._loadProbeTimes.set(identity, instants);
			},
			onLoadUpdate: update => {
				this._broadcast(vm, update);
			},
			onWastedWork: wasted => {
				this._wastedMilliseconds += wasted;
			},
		});
		this._allVms.push(vm);
		const shares: FleetShares = {
			loadProbeFraction: 1 / shareSlots,
			loadProbesFrom,
			loadProbesUntil: Infinity,
			connectionFraction: 1 / shareSlots,
			vmCount,
		};
		vm.handle({type: 'shares', shares});
		vm.handle({type: 'configured', configuration: this._configuration});
		return vm;
	}

	/** Delivers a load update to all other VMs after the one-way latency between data centres. */
	private _broadcast(from: ModelVm, update: LoadUpdate): void {
		this._updateCount++;
		this._time.at(this._time.now + remoteLatencyMilliseconds, () => {
			for (const vm of this._vms) {
				if (vm !== from) {
					vm.handle({type: 'peer-updates', updates: [{...update, ageMilliseconds: update.ageMilliseconds + remoteLatencyMilliseconds}]});
				}
			}
		});
	}

	/** The next holder of a share slot sends no load probes until one whole window after the old holder has lost its share. */
	private _replaceVm(index: number): void {
		const {now} = this._time;
		this._shareSlotFreeAt[this._shareSlotOfVm[index]!] = now + loadProbeBudget.windowMilliseconds;
		this._vms[index]!.handle({
			type: 'shares',
			shares: {
				loadProbeFraction: 0, loadProbesFrom: now, loadProbesUntil: now, connectionFraction: 1 / shareSlots, vmCount,
			},
		});
		const slot = this._shareSlotFreeAt.findIndex((freeAt, candidate) => !this._shareSlotOfVm.includes(candidate) && freeAt <= now);
		const next = slot === -1 ? this._shareSlotOfVm[index]! : slot;
		const loadProbesFrom = Math.max(now, this._shareSlotFreeAt[next]!);
		this._shareSlotOfVm[index] = next;
		this._vms[index] = this._makeVm(index, loadProbesFrom);
	}

	/** Returns the calls of the run; they depend only on scenario and seed. */
	private _planCalls(): PlannedCall[] {
		const random = seededRandom(this._seed);
		const calls: PlannedCall[] = [];
		const meanWork = this._scenario.kinds.reduce((sum, kind) => sum + (kind.share * kind.work), 0);
		for (const service of this._scenario.services) {
			const capacity = service.servers * slotsPerServer / meanWork;
			const peak = 4 * capacity * service.load;
			// Poisson arrivals by thinning: candidates arrive at the peak rate, 4 times the load, and are kept with probability factor / 4.
			for (let at = 0; at < this._scenario.milliseconds; at += -Math.log(1 - random.next()) / peak) {
				if (random.next() < this._scenario.loadFactorAt(at) / 4) {
					calls.push(this._planCall(service.name, at, random));
				}
			}
		}

		return calls.toSorted((a, b) => a.at - b.at);
	}

	private _planCall(service: string, at: Instant, random: RandomSource): PlannedCall {
		const isHeavy = random.next() < this._scenario.heavyCallerFraction;
		const kind = drawKind(this._scenario.kinds, random);
		return {
			at,
			service,
			caller: isHeavy ? 'heavy' : `caller-${Math.floor(random.next() * 200)}`,
			vm: isHeavy ? 0 : Math.floor(random.next() * vmCount),
			method: kind.method,
			path: kind.path,
			work: kind.work * logNormal(random),
			timeout: kind.timeout,
		};
	}
}

function drawKind(kinds: readonly CallKind[], random: RandomSource): CallKind {
	let remainingShare = random.next();
	for (const kind of kinds) {
		remainingShare -= kind.share;
		if (remainingShare < 0) {
			return kind;
		}
	}

	return kinds[0]!;
}

/** Sigma of the log-normal work of one kind of call: p99 is 2.3 times the mean. */
const workSigma = 0.4;

/** Draws a log-normal factor with mean 1 (Box-Muller transform). */
function logNormal(random: RandomSource): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
	const normal = radius * Math.cos(2 * Math.PI * random.next());
	return Math.exp((workSigma * normal) - (workSigma * workSigma / 2));
}
