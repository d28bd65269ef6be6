/** One run: a scenario's calls through the engines of all VMs against the model, in virtual time. */
import {type CallConfiguration, type FleetShares, type LoadUpdate} from '../../src/common/calls/types.ts';
import {backendServerSchema, serviceSchema} from '../../src/common/model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../src/common/model/units.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {ModelServer, VirtualTime} from './model-server.ts';
import {ModelVm} from './model-vm.ts';
import {
	type CallKind, type CallRecord, type PlannedCall, type Policy, type RunFigures, type Scenario, type ScenarioService,
	dataCentres, localLatency, measuringBudget, remoteLatency, shareSlots, vmCount,
} from './types.ts';
import {figuresOf} from './figures.ts';

/** Slots of each backend server of the model. */
const slotsOfServer = 6;

/** Calls that arrive earlier than this are not counted: engines start with no knowledge. */
const warmUp: Milliseconds = 500;

/** After the last arrival the run goes on until every call has ended. */
const windDown: Milliseconds = 1500;

type PlacedServer = {readonly identity: string; readonly service: string; readonly dataCentre: string; readonly server: ModelServer};

/** One run of one policy under one seed. */
export class Simulation {
	private readonly _scenario: Scenario;
	private readonly _policy: Policy;
	private readonly _seed: number;
	private readonly _time = new VirtualTime();
	private readonly _servers: PlacedServer[] = [];
	private readonly _serverByIdentity = new Map<string, PlacedServer>();
	private readonly _vms: ModelVm[] = [];
	private readonly _slotOfVm: number[] = [];
	private readonly _slotFreeAt: Instant[] = [];
	private readonly _allVms: ModelVm[] = [];
	private readonly _configuration: CallConfiguration;
	private readonly _measured = new Map<string, Instant[]>();
	private _waste: Milliseconds = 0;
	private _updateCount = 0;
	private _engineCount = 0;

	constructor(scenario: Scenario, policy: Policy, seed: number) {
		this._scenario = scenario;
		this._policy = policy;
		this._seed = seed;
		for (const service of scenario.services) {
			this._addServers(service);
		}

		this._configuration = this._declare();
	}

	run(): RunFigures {
		for (let slot = 0; slot < shareSlots; slot++) {
			this._slotFreeAt.push(-Infinity);
		}

		for (let index = 0; index < vmCount; index++) {
			this._slotOfVm.push(index);
			this._vms.push(this._makeVm(index, 0));
		}

		const records = this._plan().map((planned): CallRecord => ({
			planned, endedAt: undefined, isGood: false, isRefused: false, starts: 0,
		}));
		for (const [callId, record] of records.entries()) {
			this._time.at(record.planned.at, () => {
				this._vms[record.planned.vm]!.arrive(callId, record);
			});
		}

		this._scenario.prepare({
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
		this._time.run(this._scenario.milliseconds + windDown);
		const milliseconds = performance.now() - startedAt;
		return figuresOf({
			scenario: this._scenario,
			policy: this._policy.name,
			seed: this._seed,
			records,
			from: warmUp,
			servers: this._servers.map(placed => ({
				service: placed.service, server: placed.server, measuredAt: this._measured.get(placed.identity) ?? [],
			})),
			waste: this._waste,
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
				server: this._shared(index) ?? new ModelServer(this._time, identity, slotsOfServer, this._scenario.reportLag),
			};
			this._servers.push(placed);
			this._serverByIdentity.set(identity, placed);
		}
	}

	/** The first service's backend server, where a scenario lets services share them. */
	private _shared(index: number): ModelServer | undefined {
		return this._scenario.sharesServers ? this._servers[index % this._scenario.services[0]!.servers]?.server : undefined;
	}

	private _declare(): CallConfiguration {
		const services = this._scenario.services.map(service => serviceSchema.parse({
			kind: 'service', name: service.name, priority: service.priority, measuring: {...measuringBudget, tailWeight: this._policy.tailWeight},
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
				slots: slotsOfServer,
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
			latencyTo: identity => this._serverByIdentity.get(identity)!.dataCentre === dataCentre ? localLatency : remoteLatency,
			hasReportsOnAnswers: this._scenario.hasReportsOnAnswers,
			onMeasure: (identity, at) => {
				const instants = this._measured.get(identity) ?? [];
				instants.push(at);
				this._measured.set(identity, instants);
			},
			onUpdate: update => {
				this._spread(vm, update);
			},
			onWaste: spent => {
				this._waste += spent;
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
		vm.feed({type: 'shares', shares});
		vm.feed({type: 'configured', configuration: this._configuration});
		return vm;
	}

	/** An update reaches every other VM after one hop. */
	private _spread(from: ModelVm, update: LoadUpdate): void {
		this._updateCount++;
		this._time.at(this._time.now + remoteLatency, () => {
			for (const vm of this._vms) {
				if (vm !== from) {
					vm.feed({type: 'peer-updates', updates: [{...update, ageMilliseconds: update.ageMilliseconds + remoteLatency}]});
				}
			}
		});
	}

	/** The next holder of a slot waits one whole window after the old right ended. */
	private _replaceVm(index: number): void {
		const {now} = this._time;
		this._slotFreeAt[this._slotOfVm[index]!] = now + measuringBudget.windowMilliseconds;
		this._vms[index]!.feed({
			type: 'shares',
			shares: {
				loadProbeFraction: 0, loadProbesFrom: now, loadProbesUntil: now, connectionFraction: 1 / shareSlots, vmCount,
			},
		});
		const slot = this._slotFreeAt.findIndex((freeAt, candidate) => !this._slotOfVm.includes(candidate) && freeAt <= now);
		const next = slot === -1 ? this._slotOfVm[index]! : slot;
		const loadProbesFrom = Math.max(now, this._slotFreeAt[next]!);
		this._slotOfVm[index] = next;
		this._vms[index] = this._makeVm(index, loadProbesFrom);
	}

	/** The calls of the run: the same for every policy under one seed. */
	private _plan(): PlannedCall[] {
		const random = seededRandom(this._seed);
		const calls: PlannedCall[] = [];
		const meanWork = this._scenario.kinds.reduce((sum, kind) => sum + (kind.share * kind.work), 0);
		for (const service of this._scenario.services) {
			const capacity = service.servers * slotsOfServer / meanWork;
			const peak = 4 * capacity * service.load;
			// Thinning: arrivals at the highest rate, of which each is kept with the part of its instant.
			for (let at = 0; at < this._scenario.milliseconds; at += -Math.log(1 - random.next()) / peak) {
				if (random.next() < this._scenario.factorAt(at) / 4) {
					calls.push(this._planCall(service.name, at, random));
				}
			}
		}

		return calls.toSorted((a, b) => a.at - b.at);
	}

	private _planCall(service: string, at: Instant, random: RandomSource): PlannedCall {
		const isHeavy = random.next() < this._scenario.heavyCallerPart;
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
	let rest = random.next();
	for (const kind of kinds) {
		rest -= kind.share;
		if (rest < 0) {
			return kind;
		}
	}

	return kinds[0]!;
}

/** Spread of the work of one kind: its p99 is 2.3 times its mean. */
const sigma = 0.4;

/** A log-normal factor with mean 1 (Box and Muller's method). */
function logNormal(random: RandomSource): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
	const normal = radius * Math.cos(2 * Math.PI * random.next());
	return Math.exp((sigma * normal) - (sigma * sigma / 2));
}
