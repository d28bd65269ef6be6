/** The services and backend servers in force, and what is learnt of them besides calls. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {BackendServerState} from './backend-server-state.ts';
import {CrashSuspects} from './crash-suspects.ts';
import {type EngineContext, vmCountOf} from './engine-context.ts';
import {MeasuringSchedule, measuringTimeout} from './measuring-schedule.ts';
import {type RateLimitChange} from './rate-limit.ts';
import {defaultSharing, ServiceState} from './service-state.ts';
import {TimerQueue} from './timer-queue.ts';
import {
	type BackendServerIdentity, type BackendServerInForce, type BackendServerStatus, type CallConfiguration, type FleetShares, type LoadUpdate, type LoadReport, type MeasurementId, type RateLimitNotice,
} from './types.ts';

/** Without a share, or with a fresh report, a backend server is looked at again after this time at most. */
const longestLook = 1000;

/**
 * Longest that a measuring call on demand may be under way. No call waits for it so long; ending it ends its
 * connection, which a VM that was busy for a moment would otherwise open anew.
 */
const demandTimeout: Milliseconds = 250;

/** A service without a call for this long is idle here: longer than the gaps between a portal's polls. */
const idleAfter = 5000;

/** Knows services and backend servers. */
export class ServiceDirectory {
	private readonly _context: EngineContext;
	private readonly _services = new Map<string, ServiceState>();
	private readonly _servers = new Map<BackendServerIdentity, BackendServerState>();
	private readonly _measurements = new Map<MeasurementId, BackendServerState>();
	private readonly _looks = new TimerQueue<BackendServerState>();
	private _version: number | undefined;
	private _nextMeasurementId = 1;

	constructor(context: EngineContext) {
		this._context = context;
	}

	/** Configuration version in force; undefined before the first. */
	get version(): number | undefined {
		return this._version;
	}

	/** When a backend server has to be looked at, for measuring. */
	get nextLook(): Instant | undefined {
		return this._looks.earliest;
	}

	service(name: string): ServiceState | undefined {
		return this._services.get(name);
	}

	allServices(): Iterable<ServiceState> {
		return this._services.values();
	}

	configure(configuration: CallConfiguration, now: Instant): void {
		// An older version never replaces a newer one, whoever brings it.
		if (this._version !== undefined && configuration.version < this._version) {
			return;
		}

		const isFirst = this._version === undefined;
		this._version = configuration.version;
		this._configureServers(configuration, now, isFirst);
		const servers = this._serversByService();
		const rules = new Map(configuration.sharingRules.map(rule => [rule.service, rule]));
		for (const [name, declared] of configuration.services) {
			const service = this._services.get(name) ?? new ServiceState(declared, this._context.tuning);
			service.redeclare(declared);
			// A rule that was deleted is no longer in force.
			service.sharing = rules.get(name) ?? defaultSharing;
			service.warmUp = configuration.warmUpLimits?.get(name);
			service.setServers(servers.get(name) ?? [], vmCountOf(this._context));
			this._shareRetries(service);
			this._services.set(name, service);
			if (!service.hasUsableServer) {
				this._context.freed.add(service);
			}
		}

		for (const name of this._services.keys()) {
			if (!configuration.services.has(name)) {
				this._services.delete(name);
			}
		}
	}

	setShares(shares: FleetShares, now: Instant): void {
		if (shares.members !== undefined && shares.members !== this._context.shares?.members) {
			this._context.rateQuota.setMembers(shares.members, now);
		}

		this._context.shares = shares;
		for (const service of this._services.values()) {
			service.setVmCount(vmCountOf(this._context));
			this._shareRetries(service);
		}
	}

	takeLeaving(identity: BackendServerIdentity, instance: string | undefined, now: Instant): void {
		this._servers.get(identity)?.takeLeaving(instance, now);
	}

	takeUpdates(updateList: readonly LoadUpdate[], now: Instant): void {
		for (const update of updateList) {
			const server = this._servers.get(update.identity);
			if (server !== undefined && update.report !== undefined) {
				this._takeReport(server, update.report, now - Math.max(0, update.ageMilliseconds), now);
			}

			if (update.crash !== undefined) {
				this._context.suspects.accuse(update.crash, update.suspects, now);
			}
		}
	}

	/** Takes a report that came with an answer. */
	takeAnswerReport(server: BackendServerState, report: LoadReport, now: Instant): void {
		this._takeReport(server, report, now, now);
		const others = server.reportedOthers;
		if (others !== undefined) {
			this._services.get(server.declared.service)?.noteOthers(others);
		}
	}

	/** Takes what the answer to an attempt says of a rate limit. */
	takeAnswerLimit(server: BackendServerState, rateLimit: RateLimitNotice | undefined, startedAt: Instant, now: Instant): void {
		this._tellLimitChange(server, server.rateLimit.noteAnswer(rateLimit, startedAt, now), 'answer', rateLimit);
	}

	/** Takes the end of a measuring call in; the backend server that it went to, if it is still known. */
	takeMeasurement(measurementId: MeasurementId, report: LoadReport | undefined, now: Instant): BackendServerState | undefined {
		const server = this._measurements.get(measurementId);
		this._measurements.delete(measurementId);
		if (server === undefined) {
			return undefined;
		}

		if (report === undefined) {
			server.unansweredMeasurings++;
			return server;
		}

		server.unansweredMeasurings = 0;
		this.takeAnswerReport(server, report, now);
		this._tellLimitChange(server, server.rateLimit.noteProbe(report.rateLimit, now), 'load-probe', report.rateLimit);
		if (server.health === 'doubted') {
			server.move('ANSWERED', now);
		}

		return server;
	}

	/** Sends a measuring call at once. */
	measureNow(server: BackendServerState): void {
		this._startMeasuring(server);
	}

	/**
	 * A call of the service has come. The first one after a while brings the pace of measuring back, each backend
	 * server in a phase of its own: a rush wakes all VMs at once, and they must not all measure at once.
	 */
	noteCall(service: ServiceState, now: Instant): void {
		const wasIdle = now - service.lastCallAt > idleAfter;
		service.lastCallAt = now;
		if (!wasIdle || service.isMeasuredOnDemand) {
			return;
		}

		for (const server of service.servers) {
			server.schedule.start(now, this._context.random.next());
			this._lookAt(server, now);
		}
	}

	/** Measures what is due, within the budget. */
	measure(now: Instant): void {
		for (let server = this._looks.takeDue(now); server !== undefined; server = this._looks.takeDue(now)) {
			if (this._servers.get(server.identity) === server) {
				this._look(server, now);
			}
		}
	}

	statuses(now: Instant): BackendServerStatus[] {
		return Array.from(this._servers.values(), server => this._status(server, now));
	}

	private _tellLimitChange(server: BackendServerState, change: RateLimitChange, source: 'answer' | 'load-probe', rateLimit: RateLimitNotice | undefined): void {
		if (change === 'none') {
			return;
		}

		this._context.effects.push({
			type: 'rate-limit-changed',
			identity: server.identity,
			service: server.declared.service,
			rateLimit,
			source,
			limitedServers: [...this._servers.values()].filter(one => one.rateLimit.callsPerSecond !== undefined).length,
		});
	}

	private _shareRetries(service: ServiceState): void {
		const {retryBurst} = this._context.settings;
		if (retryBurst !== undefined) {
			service.retryBudget.shareBurst(retryBurst, vmCountOf(this._context));
		}
	}

	/** One pass over the backend servers: a pass for each service made a change cost the product of the two. */
	private _serversByService(): Map<string, BackendServerState[]> {
		const servers = new Map<string, BackendServerState[]>();
		for (const server of this._servers.values()) {
			const ofService = servers.get(server.declared.service);
			if (ofService === undefined) {
				servers.set(server.declared.service, [server]);
			} else {
				ofService.push(server);
			}
		}

		return servers;
	}

	private _configureServers(configuration: CallConfiguration, now: Instant, isFirst: boolean): void {
		for (const [identity, declared] of configuration.backendServers) {
			const known = this._servers.get(identity);
			if (known === undefined) {
				this._add(identity, declared, now, isFirst);
			} else if (isLaterProcess(known.declared, declared)) {
				this._restart(known, declared, now);
			} else {
				redeclare(known, declared, now);
			}
		}

		for (const identity of this._servers.keys()) {
			if (!configuration.backendServers.has(identity)) {
				this._servers.delete(identity);
			}
		}

		for (const server of this._servers.values()) {
			this._setEvacuated(server, configuration, now);
		}
	}

	private _setEvacuated(server: BackendServerState, {evacuatedDataCentres, warmUpLimits}: CallConfiguration, now: Instant): void {
		const isEvacuated = evacuatedDataCentres?.has(server.declared.dataCentre) === true;
		const warmUp = warmUpLimits?.get(server.declared.service);
		if (server.isEvacuated && !isEvacuated && warmUp !== undefined) {
			server.warmUp.assume(now + warmUp.milliseconds);
		}

		server.isEvacuated = isEvacuated;
	}

	private _add(identity: BackendServerIdentity, declared: BackendServerInForce, now: Instant, isKnown: boolean): void {
		const server = new BackendServerState(identity, declared, this._context.tuning, now, isKnown);
		this._servers.set(identity, server);
		server.schedule.start(now, this._context.random.next());
		this._lookAt(server, now);
	}

	/**
	 * Guards a process that starts again under its predecessor's identity: judged by that one's reports, failures and
	 * open attempts it would look full, failing or leaving, and a late report of the old one would speak for the new.
	 * It gets a record of its own; what belongs to the old one ends with the attempts and measuring calls that hold it.
	 */
	private _restart(former: BackendServerState, declared: BackendServerInForce, now: Instant): void {
		this._context.suspects.confirm(CrashSuspects.crashIdentity(former.identity, former.process), now);
		if (former.look !== undefined) {
			this._looks.remove(former.look);
		}

		this._add(former.identity, declared, now, false);
		this._context.replaced.push(former);
	}

	private _takeReport(server: BackendServerState, report: LoadReport, madeAt: Instant, now: Instant): void {
		const former = server.report;
		const gap = madeAt - server.reportedAt;
		const effect = server.takeReport(report, madeAt, now);
		if (effect.isTaken) {
			this._services.get(server.declared.service)?.answerTimes.addReport(report.workTimeFactor, former?.workTimeFactor, gap);
			this._services.get(server.declared.service)?.headroom.add(report);
		}

		if (effect.goneInstance !== undefined) {
			this._context.suspects.confirm(CrashSuspects.crashIdentity(server.identity, effect.goneInstance), now);
		}

		// That another process answers is worth telling too: the fleet then drops the sign of the one that left.
		if (effect.beganToLeave || effect.goneInstance !== undefined) {
			this._tell(server, report);
		}
	}

	private _tell(server: BackendServerState, report: LoadReport): void {
		this._context.effects.push({
			type: 'tell-peers',
			update: {
				identity: server.identity, report, ageMilliseconds: 0, suspects: [], crash: undefined,
			},
		});
	}

	private _look(server: BackendServerState, now: Instant): void {
		const service = this._services.get(server.declared.service);
		if (service?.isMeasuredOnDemand === true) {
			server.look = undefined;
			return;
		}

		const {shares} = this._context;
		const isIdle = service === undefined || now - service.lastCallAt > idleAfter;
		const need = {at: server.reportedAt, isIdle};
		const dueAt = service === undefined ? undefined : server.schedule.dueAt(service.declared.measuring, shares, need, now);
		if (service === undefined || dueAt === undefined) {
			this._lookAt(server, now + longestLook);
			return;
		}

		if (dueAt <= now && server.schedule.trySpend(service.declared.measuring, shares, now)) {
			this._startMeasuring(server);
		}

		const next = server.schedule.dueAt(service.declared.measuring, shares, {...need, at: server.reportedAt}, now) ?? now + longestLook;
		this._lookAt(server, Math.max(next, now + 1));
	}

	/** One look for each backend server is planned at any time. */
	private _lookAt(server: BackendServerState, at: Instant): void {
		if (server.look !== undefined) {
			this._looks.remove(server.look);
		}

		server.look = this._looks.add(at, server);
	}

	private _startMeasuring(server: BackendServerState): void {
		const measurementId = this._nextMeasurementId++;
		const measuring = this._services.get(server.declared.service)?.declared.measuring;
		this._measurements.set(measurementId, server);
		this._context.effects.push({
			type: 'measure',
			service: server.declared.service,
			path: measuring?.path ?? '/load',
			measurementId,
			identity: server.identity,
			address: server.declared.address,
			port: server.declared.port,
			processStartedAt: server.declared.processStartedAt,
			timeoutMilliseconds: measuring?.mode === 'on-demand' ? demandTimeout : measuringTimeout,
		});
	}

	private _status(server: BackendServerState, now: Instant): BackendServerStatus {
		const budget = this._services.get(server.declared.service)?.declared.measuring;
		return {
			identity: server.identity,
			name: server.declared.name,
			service: server.declared.service,
			state: statusState(server, now),
			inFlight: server.attempts.size,
			reportedInFlight: server.report?.inFlight,
			reportAgeMilliseconds: server.report === undefined ? undefined : now - server.reportedAt,
			measuringSpent: budget === undefined ? 0 : server.schedule.spent(budget, now),
			measuringAllowed: budget === undefined ? 0 : MeasuringSchedule.allowed(budget, this._context.shares, now),
		};
	}
}

/** Whether this declaration is of a process that started after the one known under the identity. */
function isLaterProcess(known: BackendServerInForce, declared: BackendServerInForce): boolean {
	return declared.processStartedAt !== undefined && declared.processStartedAt > (known.processStartedAt ?? Infinity);
}

/** A changed declaration; an order to leave that is taken back makes it a returned one. */
function redeclare(server: BackendServerState, declared: BackendServerInForce, now: Instant): void {
	const hasReturned = server.declared.isLeaving && !declared.isLeaving;
	if (declared.warmUntil !== undefined && declared.warmUntil !== server.declared.warmUntil) {
		server.warmUp.noteEntry(declared.warmUntil);
	}

	server.declared = declared;
	if (declared.isLeaving) {
		server.move('LEAVE', now);
	} else if (hasReturned) {
		server.move('RETURN', now);
	}
}

function statusState(server: BackendServerState, now: Instant): BackendServerStatus['state'] {
	const health = server.healthAt(now);
	if (server.isLeaving) {
		return 'leaving';
	}

	if (health === 'doubted') {
		return 'active';
	}

	return health === 'probing' ? 'ejected' : health;
}
