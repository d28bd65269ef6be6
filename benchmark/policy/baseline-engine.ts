/** Baseline engines: each places calls by one simple rule and does nothing else. */
import {type BackendServer} from '../../src/common/model/resources.ts';
import {type Instant, type RandomSource} from '../../src/common/model/units.ts';
import {
	type CallConfiguration, type CallEffect, type CallEngine, type CallEngineStatus, type CallEvent, type CallLoad, type CallRequest,
	type FleetShares, type LoadUpdate, type LoadReport,
} from '../../src/common/calls/types.ts';
import {TimerQueue} from '../../src/common/calls/timer-queue.ts';

/** State of a backend server at a baseline engine. */
export type BaselineServer = {
	readonly identity: string;
	readonly declared: BackendServer;
	inFlight: number;
	/** Calls in the latest load report that any VM received, and own calls started since that report. */
	reportedLoad: number;
	startsSinceReport: number;
};

/** Placing rule of a baseline. */
export type BaselineRule = {
	readonly usesLoadProbes: boolean;
	choose(servers: readonly BaselineServer[], random: RandomSource): BaselineServer;
};

function pickRandom(servers: readonly BaselineServer[], random: RandomSource): BaselineServer {
	return servers[Math.floor(random.next() * servers.length)]!;
}

/** Factories of the placing rules by policy name. Every VM gets its own instance, since a rule may have state. */
export const baselineRules: Readonly<Record<string, () => BaselineRule>> = {
	random: () => ({usesLoadProbes: false, choose: pickRandom}),
	'round-robin'() {
		const nextOf = new Map<readonly BaselineServer[], number>();
		return {
			usesLoadProbes: false,
			choose(servers, random) {
				const next = nextOf.get(servers) ?? Math.floor(random.next() * servers.length);
				nextOf.set(servers, (next + 1) % servers.length);
				return servers[next]!;
			},
		};
	},
	'least-in-flight': () => ({
		usesLoadProbes: false,
		choose(servers, random) {
			let least = Infinity;
			for (const server of servers) {
				least = Math.min(least, server.inFlight);
			}

			return pickRandom(servers.filter(server => server.inFlight === least), random);
		},
	}),
	'two-choices': () => ({
		usesLoadProbes: false,
		choose(servers, random) {
			const [first, second] = [pickRandom(servers, random), pickRandom(servers, random)];
			return second.inFlight < first.inFlight ? second : first;
		},
	}),
	'two-choices-measured': () => ({
		usesLoadProbes: true,
		choose(servers, random) {
			const [first, second] = [pickRandom(servers, random), pickRandom(servers, random)];
			return second.reportedLoad + second.startsSinceReport < first.reportedLoad + first.startsSinceReport ? second : first;
		},
	}),
};

type BaselineCall = {readonly request: CallRequest; readonly deadline: Instant; server: BaselineServer; attemptId: number; isPassedOn: boolean; isOver: boolean};

/** Events that this engine leaves out. */
const ignoredEvents = {
	'backend-server-leaving': true,
	'caller-gone': true,
	'cut-off': true,
	'key-claimed': true,
	'process-ending': true,
	'placing-held': true,
	'link-checked': true,
	'link-failed': true,
	'quarantine-lifted': true,
	'demand-summary': true,
	'server-tokens': true,
} as const satisfies Partial<Record<CallEvent['type'], true>>;

type IgnoredEvent = Extract<CallEvent, {type: keyof typeof ignoredEvents}>;

function isIgnored(event: CallEvent): event is IgnoredEvent {
	return Object.hasOwn(ignoredEvents, event.type);
}

/** Starts one attempt for each call at once, passes the answer on, and cancels the call at its deadline. */
export class BaselineEngine implements CallEngine {
	private readonly _rule: BaselineRule;
	private readonly _random: RandomSource;
	private readonly _servers = new Map<string, BaselineServer>();
	private readonly _serversOfService = new Map<string, BaselineServer[]>();
	private readonly _calls = new Map<number, BaselineCall>();
	private readonly _deadlines = new TimerQueue<BaselineCall>();
	private readonly _loadProbes = new Map<number, BaselineServer>();
	private readonly _nextLoadProbes = new TimerQueue<BaselineServer>();
	private _shares: FleetShares | undefined;
	private _configuration: CallConfiguration | undefined;
	private _nextId = 1;
	private _effects: CallEffect[] = [];

	constructor(rule: BaselineRule, random: RandomSource) {
		this._rule = rule;
		this._random = random;
	}

	handle(event: CallEvent, now: Instant): readonly CallEffect[] {
		this._effects = [];
		if ('attemptId' in event) {
			this._handleAttemptEvent(event, now);
		} else {
			this._handleOtherEvent(event, now);
		}

		return this._effects;
	}

	nextWakeUp(): Instant | undefined {
		const deadline = this._deadlines.earliest ?? Infinity;
		const nextLoadProbe = this._nextLoadProbes.earliest ?? Infinity;
		const earliest = Math.min(deadline, nextLoadProbe);
		return earliest === Infinity ? undefined : earliest;
	}

	load(): CallLoad {
		return {callsInFlight: 0, callsQueued: 0, inFlightOfServices: new Map()};
	}

	status(): CallEngineStatus {
		return {
			configurationVersion: 1, callsInFlight: this._calls.size, callsQueued: 0, backendServers: [], quarantined: [],
		};
	}

	private _handleAttemptEvent(event: Extract<CallEvent, {attemptId: number}>, now: Instant): void {
		switch (event.type) {
			case 'attempt-head': {
				this._handleHead(event, now);
				break;
			}

			case 'attempt-done': {
				this._endCall(event.attemptId, now, undefined);
				break;
			}

			case 'attempt-failed': {
				this._endCall(event.attemptId, now, 'backend-server-failed');
				break;
			}

			case 'attempt-sent': {
				break;
			}
		}
	}

	private _handleOtherEvent(event: Exclude<CallEvent, {attemptId: number}>, now: Instant): void {
		if (isIgnored(event)) {
			return;
		}

		switch (event.type) {
			case 'configured': {
				this._configure(event.configuration, now);
				break;
			}

			case 'shares': {
				this._shares = event.shares;
				break;
			}

			case 'call-arrived': {
				this._startCall(event.request, now);
				break;
			}

			case 'measured': {
				this._handleReport(event.loadProbeId, event.report);
				break;
			}

			case 'peer-updates': {
				this._applyPeerUpdates(event.updates);
				break;
			}

			case 'tick': {
				this._handleTick(now);
				break;
			}
		}
	}

	private _configure(configuration: CallConfiguration, now: Instant): void {
		this._configuration = configuration;
		for (const [identity, declared] of configuration.backendServers) {
			const server: BaselineServer = {
				identity, declared, inFlight: 0, reportedLoad: 0, startsSinceReport: 0,
			};
			this._servers.set(identity, server);
			this._serversOfService.set(declared.service, [...(this._serversOfService.get(declared.service) ?? []), server]);
			if (this._rule.usesLoadProbes) {
				this._nextLoadProbes.add(Math.max(now, this._shares?.loadProbesFrom ?? 0) + (this._random.next() * this._loadProbeInterval(server)), server);
			}
		}
	}

	private _loadProbeInterval(server: BaselineServer): number {
		const {callsPerWindow, windowMilliseconds} = this._configuration!.services.get(server.declared.service)!.measuring;
		const calls = Math.floor((this._shares?.loadProbeFraction ?? 0) * callsPerWindow);
		return (windowMilliseconds + 20) / calls;
	}

	private _startCall(request: CallRequest, now: Instant): void {
		const server = this._rule.choose(this._serversOfService.get(request.service)!, this._random);
		const call: BaselineCall = {
			request, deadline: now + request.timeoutMilliseconds!, server, attemptId: this._nextId++, isPassedOn: false, isOver: false,
		};
		server.inFlight++;
		server.startsSinceReport++;
		this._calls.set(call.attemptId, call);
		this._deadlines.add(call.deadline, call);
		this._effects.push({
			type: 'start-attempt',
			callId: request.callId,
			attemptId: call.attemptId,
			identity: server.identity,
			address: server.declared.address,
			port: server.declared.port,
			timeoutMilliseconds: request.timeoutMilliseconds!,
			needsFreshConnection: false,
			connectionLimit: 250,
			resume: undefined,
		});
	}

	private _handleHead(event: Extract<CallEvent, {type: 'attempt-head'}>, now: Instant): void {
		const call = this._calls.get(event.attemptId);
		if (call === undefined) {
			return;
		}

		if (event.isDeclaredNotRun) {
			this._endCall(event.attemptId, now, 'overloaded');
			return;
		}

		call.isPassedOn = true;
		this._effects.push({
			type: 'pass-on', callId: call.request.callId, attemptId: call.attemptId, outcome: event.status < 500 ? 'ran' : 'unknown', timeLeftMilliseconds: 0, timeLimitScope: 'progress',
		});
	}

	private _endCall(attemptId: number, now: Instant, reason: 'backend-server-failed' | 'overloaded' | 'deadline-exceeded' | undefined): void {
		const call = this._calls.get(attemptId);
		if (call === undefined) {
			return;
		}

		this._calls.delete(attemptId);
		call.isOver = true;
		call.server.inFlight--;
		const {callId} = call.request;
		if (reason !== undefined) {
			this._effects.push({
				type: 'refuse', callId, status: 503, reason, outcome: 'unknown', retryAfterMilliseconds: undefined,
			});
		}

		this._effects.push({
			type: 'call-ended',
			callId,
			summary: {
				service: call.request.service, outcome: 'ran', reason, attempts: 1, milliseconds: now, queuedMilliseconds: 0, isGood: true,
			},
		});
	}

	private _handleReport(loadProbeId: number, report: LoadReport | undefined): void {
		const server = this._loadProbes.get(loadProbeId);
		this._loadProbes.delete(loadProbeId);
		if (server === undefined || report === undefined) {
			return;
		}

		server.reportedLoad = report.inFlight + report.queued;
		server.startsSinceReport = 0;
		this._effects.push({
			type: 'tell-peers',
			update: {
				identity: server.identity, report, ageMilliseconds: 0, suspects: [], crash: undefined,
			},
		});
	}

	private _applyPeerUpdates(updates: readonly LoadUpdate[]): void {
		for (const {identity, report} of updates) {
			const server = this._servers.get(identity);
			if (server !== undefined && report !== undefined) {
				server.reportedLoad = report.inFlight + report.queued;
				server.startsSinceReport = 0;
			}
		}
	}

	private _handleTick(now: Instant): void {
		for (let call = this._deadlines.takeDue(now); call !== undefined; call = this._deadlines.takeDue(now)) {
			if (!call.isOver && !call.isPassedOn) {
				this._effects.push({type: 'cancel-attempt', attemptId: call.attemptId});
				this._endCall(call.attemptId, now, 'deadline-exceeded');
			}
		}

		for (let server = this._nextLoadProbes.takeDue(now); server !== undefined; server = this._nextLoadProbes.takeDue(now)) {
			if (this._shares === undefined || this._shares.loadProbeFraction === 0) {
				continue;
			}

			const loadProbeId = this._nextId++;
			this._loadProbes.set(loadProbeId, server);
			this._nextLoadProbes.add(now + this._loadProbeInterval(server), server);
			this._effects.push({
				type: 'measure', loadProbeId, service: server.declared.service, path: '/load',
				identity: server.identity, address: server.declared.address, port: server.declared.port, timeoutMilliseconds: 20,
			});
		}
	}
}
