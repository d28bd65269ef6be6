/** One run of the engine on many VMs against backend servers with neighbours, in virtual time, with callers that return once. */
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {type CallTuning} from '../../src/common/calls/tuning.ts';
import {type BackendServer, backendServerSchema, serviceSchema} from '../../src/common/model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../src/common/model/units.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {ModelServer, VirtualTime} from '../policy/model-server.ts';
import {ModelVm} from '../policy/model-vm.ts';
import {type CallRecord, type PlannedCall} from '../policy/types.ts';
import {type DemandKind, type DemandScenario} from './scenarios.ts';

/** Ways in one direction, in milliseconds. */
const near: Milliseconds = 0.1;
const far: Milliseconds = 1.4;
const toCaller: Milliseconds = 3;

const slots = 6;

/** Engines start with no knowledge: what comes earlier is not counted. */
const warmUp: Milliseconds = 1500;

/** Part of the time that is left within which a caller comes back at the latest. */
const longestReturnPart = 1 / 3;

/** Calls are judged by windows of this length; the worst tenth is told apart. */
const window: Milliseconds = 1000;

/** How users weigh the whole run, its worst windows, and that a call is answered at all. */
const wholeWeight = 0.4;
const windowsWeight = 0.4;
const servedWeight = 0.2;

/** Natural logarithm's spread of work. */
const workSpread = 0.3;

/** What one caller's call came to. */
type Story = {
	readonly kind: DemandKind;
	readonly vm: number;
	readonly work: Milliseconds;
	readonly firstAt: Instant;
	returns: number;
	refusals: number;
	answeredAt: Instant | undefined;
};

/** Figures of a run: parts of one, but for the last three. */
export type DemandFigures = {
	/** What users weigh: the whole, the worst seconds, and whether an answer came at all. */
	readonly worth: number;
	readonly earned: number;
	readonly worstWindows: number;
	readonly served: number;
	readonly late: number;
	readonly refused: number;
	readonly refusedAgain: number;
	readonly attemptsACall: number;
	readonly measuringsACall: number;
	readonly p99: number;
};

type Placed = {readonly server: ModelServer; readonly declared: BackendServer; readonly dataCentre: string};

export class DemandRun {
	private readonly _scenario: DemandScenario;
	private readonly _seed: number;
	/** Where callers go when they come back. */
	private readonly _returns: RandomSource;
	private readonly _time = new VirtualTime();
	private readonly _servers = new Map<string, Placed>();
	private readonly _vms: ModelVm[] = [];
	private readonly _stories: Story[] = [];
	private _measurings = 0;
	private _arrivals = 0;
	private _lastCallId = 0;

	constructor(scenario: DemandScenario, tuning: Partial<CallTuning>, seed: number) {
		this._scenario = scenario;
		this._seed = seed;
		this._returns = seededRandom(seed + 7);
		this._addServers();
		for (let index = 0; index < scenario.vms; index++) {
			this._vms.push(this._makeVm(index, tuning, seed));
		}
	}

	run(): DemandFigures {
		for (const [index, kind] of this._scenario.kinds.entries()) {
			this._planArrivals(kind, seededRandom((this._seed * 100) + index));
		}

		this._time.run(this._scenario.milliseconds + (2 * Math.max(...this._scenario.kinds.map(kind => kind.timeout))));
		return this._figures();
	}

	private _addServers(): void {
		for (const service of this._scenario.services) {
			for (let index = 0; index < service.servers; index++) {
				const name = `${service.name}-${index}`;
				const dataCentre = `hall-${index % this._scenario.dataCentres}`;
				const server = new ModelServer(this._time, name, slots, 0, this._scenario.behaviour);
				this._servers.set(name, {
					server, dataCentre, declared: backendServerSchema.parse({
						kind: 'backend-server', name, service: service.name, address: '127.0.0.1', port: 10_000 + this._servers.size, dataCentre, slots, connectionLimit: 240,
					}),
				});
				this._disturb(server, seededRandom((this._seed * 10_000) + this._servers.size));
			}
		}
	}

	/** The same neighbours for every policy under one seed. They come and go; how long they stay away follows from their share. */
	private _disturb(server: ModelServer, random: RandomSource): void {
		const {share, factor, milliseconds} = this._scenario.neighbours;
		const change = (isSlow: boolean): void => {
			server.setSpeed(isSlow ? 1 / factor : 1);
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
			random: seededRandom((seed * 1000) + index), settings: {dataCentre, notRunStatuses: new Set([503])}, tuning,
		}), {
			time: this._time,
			serverOf: identity => this._servers.get(identity)!.server,
			latencyTo: identity => this._servers.get(identity)!.dataCentre === dataCentre ? near : far,
			hasReportsOnAnswers: true,
			onMeasure: () => {
				this._measurings++;
			},
			onUpdate() {
				// The platform's VMs tell one another nothing of loads.
			},
			onWaste() {
				// Attempts are counted instead.
			},
		});
		vm.feed({
			type: 'shares', shares: {
				loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: Math.min(1, 2 / this._scenario.vms), vmCount: this._scenario.vms,
			},
		});
		vm.feed({
			type: 'configured', configuration: {
				version: 1,
				services: new Map(this._scenario.services.map(({name}) => [name, serviceSchema.parse({
					kind: 'service', name, retryShare: 0.2, measuring: {
						callsPerWindow: 600, windowMilliseconds: 10_000, mode: 'on-demand', path: '/load', tailWeight: 1,
					},
				})])),
				backendServers: new Map(Array.from(this._servers, ([name, {declared}]) => [name, declared])),
				sharingRules: [],
			},
		});
		return vm;
	}

	private _planArrivals(kind: DemandKind, random: RandomSource): void {
		const most = 3;
		const rate = kind.perSecond * most / 1000;
		for (let at = 0; at < this._scenario.milliseconds; at -= Math.log(1 - random.next()) / rate) {
			if (random.next() * most < this._scenario.factorAt(at)) {
				const spread = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
				const story: Story = {
					kind,
					vm: Math.floor(random.next() * this._vms.length),
					work: kind.work * Math.exp((workSpread * spread) - (workSpread * workSpread / 2)),
					firstAt: at,
					returns: 0,
					refusals: 0,
					answeredAt: undefined,
				};
				this._stories.push(story);
				this._time.at(at + toCaller, () => {
					this._send(story, story.vm);
				});
			}
		}
	}

	private _send(story: Story, vm: number): void {
		const {kind} = story;
		const planned: PlannedCall = {
			at: this._time.now, service: kind.service, caller: 'all', vm, method: kind.method, path: kind.path, work: story.work,
			timeout: kind.timeout - (this._time.now - story.firstAt), rule: kind.rule,
		};
		const record: CallRecord = {
			planned, endedAt: undefined, isGood: false, isRefused: false, starts: 0,
		};
		this._lastCallId++;
		this._vms[vm]!.arrive(this._lastCallId, record, ended => {
			this._arrivals += ended.starts;
			this._take(story, ended);
		});
	}

	/** Callers come back once, after the time they were told, or after any failure of a call that may be repeated. */
	private _take(story: Story, record: CallRecord): void {
		const {now} = this._time;
		if (record.isGood) {
			story.answeredAt = now + toCaller;
			return;
		}

		const left = story.firstAt + story.kind.timeout - now;
		const isPromise = record.retryAfter !== undefined;
		story.refusals += isPromise ? 1 : 0;
		if (story.returns === 0 && left > 0 && (isPromise || story.kind.rule.isIdempotent)) {
			story.returns++;
			this._time.at(now + (2 * toCaller) + Math.min(record.retryAfter ?? 0, left * longestReturnPart), () => {
				this._send(story, Math.floor(this._returns.next() * this._vms.length));
			});
		}
	}

	private _figures(): DemandFigures {
		const stories = this._stories.filter(story => story.firstAt >= warmUp);
		const part = (test: (story: Story) => boolean) => stories.filter(test).length / stories.length;
		const times = stories.filter(story => story.answeredAt !== undefined).map(story => story.answeredAt! - story.firstAt).toSorted((a, b) => a - b);
		const earned = earnedPart(stories);
		const worstWindows = this._worst(stories);
		const served = part(story => story.answeredAt !== undefined);
		return {
			worth: (wholeWeight * earned) + (windowsWeight * worstWindows) + (servedWeight * served),
			earned,
			worstWindows,
			served,
			late: part(story => story.answeredAt !== undefined && !isInTime(story)),
			refused: part(story => story.answeredAt === undefined && story.refusals > 0),
			refusedAgain: part(story => story.answeredAt === undefined && story.refusals > 0 && story.returns > 0),
			attemptsACall: this._arrivals / this._stories.length,
			measuringsACall: this._measurings / this._stories.length,
			p99: times[Math.floor(times.length * 0.99)] ?? Infinity,
		};
	}

	private _worst(stories: readonly Story[]): number {
		const windows = new Map<number, Story[]>();
		for (const story of stories) {
			const index = Math.floor(story.firstAt / window);
			windows.set(index, [...windows.get(index) ?? [], story]);
		}

		const parts = Array.from(windows.values(), ofWindow => earnedPart(ofWindow)).toSorted((a, b) => a - b);
		const worst = parts.slice(0, Math.max(1, Math.round(parts.length / 10)));
		return worst.reduce((sum, one) => sum + one, 0) / worst.length;
	}
}

function isInTime(story: Story): boolean {
	return story.answeredAt !== undefined && story.answeredAt - story.firstAt <= story.kind.rule.objectiveMilliseconds;
}

function earnedPart(stories: readonly Story[]): number {
	let earned = 0;
	let owed = 0;
	for (const story of stories) {
		owed += story.kind.worth;
		if (story.answeredAt !== undefined) {
			earned += isInTime(story) ? story.kind.worth : story.kind.lateWorth;
		}
	}

	return earned / owed;
}
