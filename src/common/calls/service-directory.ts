/** The declared services and backend servers, their load reports, and the schedule of load probes. */
import {type LinkState, type RelayAddress} from '../links/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {BackendServerState} from './backend-server-state.ts';
import {type ProcessEndJudge} from './health/process-end.ts';
import {type EngineContext, vmCountOf} from './engine-context.ts';
import {LoadProbeSchedule, loadProbeTimeoutMilliseconds} from './probing/load-probe-schedule.ts';
import {RateLimitUpdates} from './backend-rates/rate-limit-updates.ts';
import {RemovedServers} from './removed-servers.ts';
import {defaultSharing, ServiceState} from './service-state.ts';
import {TimerQueue} from './timer-queue.ts';
import {
	type BackendServerIdentity, type BackendServerInForce, type BackendServerStatus, type CallConfiguration, type CallEvent, type FleetShares, type LoadUpdate, type LoadReport, type LoadProbeId,
} from './types.ts';

/** Check interval while no load probe can be scheduled, because the VM holds no share of the budget or the service is unknown. */
const checkIntervalMilliseconds = 1000;

/**
 * Timeout of an on-demand load probe, longer than any call waits for one. A timeout closes the probe's connection, so with
 * a shorter one a VM that was busy for a moment would have to open its connections again.
 */
const onDemandProbeTimeoutMilliseconds: Milliseconds = 250;

/** A service without a call for this long is idle on this VM. The time is longer than the interval at which a portal polls. */
const idleAfterMilliseconds = 5000;

/** Holds the state of all services and backend servers of the VM. */
export class ServiceDirectory {
	readonly rateLimits: RateLimitUpdates;
	private readonly _context: EngineContext;
	private readonly _services = new Map<string, ServiceState>();
	private readonly _servers = new Map<BackendServerIdentity, BackendServerState>();
	private readonly _removed = new RemovedServers();
	private readonly _processEnds: ProcessEndJudge;
	private readonly _pendingLoadProbes = new Map<LoadProbeId, {readonly server: BackendServerState; readonly sentAt: Instant; readonly via: RelayAddress | undefined}>();
	private readonly _loadProbeChecks = new TimerQueue<BackendServerState>();
	private _version: number | undefined;
	private _nextLoadProbeId = 1;

	constructor(context: EngineContext, processEnds: ProcessEndJudge) {
		this._context = context;
		this._processEnds = processEnds;
		this.rateLimits = new RateLimitUpdates(context, this);
	}

	/** Version of the configuration in force; undefined before the first one. */
	get version(): number | undefined {
		return this._version;
	}

	/** Earliest time at which a backend server must be checked for a due load probe; undefined = none is scheduled. */
	get nextLoadProbeCheckAt(): Instant | undefined {
		return this._loadProbeChecks.earliest;
	}

	service(name: string): ServiceState | undefined {
		return this._services.get(name);
	}

	server(identity: BackendServerIdentity): BackendServerState | undefined {
		return this._servers.get(identity);
	}

	allServers(): Iterable<BackendServerState> {
		return this._servers.values();
	}

	allServices(): Iterable<ServiceState> {
		return this._services.values();
	}

	configure(configuration: CallConfiguration, now: Instant): void {
		// An older version never replaces a newer one, whatever its source.
		if (this._version !== undefined && configuration.version < this._version) {
			return;
		}

		const isFirst = this._version === undefined;
		this._version = configuration.version;
		this._configureServers(configuration, now, isFirst);
		const servers = this._serversByService();
		const rules = new Map(configuration.sharingRules.map(rule => [rule.service, rule]));
		for (const [name, declared] of configuration.services) {
			const service = this._services.get(name) ?? new ServiceState(declared, this._context.tuning, this._context.memberHash);
			service.updateDeclaration(declared);
			// A deleted rule no longer applies.
			service.sharing = rules.get(name) ?? defaultSharing;
			service.warmUp = configuration.warmUpLimits?.get(name);
			service.setServers(servers.get(name) ?? [], vmCountOf(this._context));
			this._setRetryBurstShare(service);
			this._services.set(name, service);
			if (!service.hasUsableServer) {
				this._context.servicesToDrain.add(service);
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
		this._context.rateLimiter.setVmCount(shares.vmCount, now);
		this._context.links.setRelays(shares.relays ?? [], now);
		for (const service of this._services.values()) {
			service.setVmCount(vmCountOf(this._context));
			this._setRetryBurstShare(service);
		}
	}

	applyLeavingSign(identity: BackendServerIdentity, instance: string | undefined, now: Instant): void {
		this._servers.get(identity)?.applyLeavingSign(instance, now);
	}

	applyPeerUpdates(updates: readonly LoadUpdate[], now: Instant): void {
		for (const update of updates) {
			const server = this._servers.get(update.identity);
			if (server !== undefined && update.report !== undefined) {
				this._applyReport(server, update.report, now - Math.max(0, update.ageMilliseconds), now);
			}

			this._applyEvidence(update, now);
			this.rateLimits.applyPeerUpdate(update, now);
		}
	}

	/** Applies a load report that arrived with an answer. */
	applyAnswerReport(server: BackendServerState, report: LoadReport, now: Instant): void {
		this._applyReport(server, report, now, now);
		const others = server.reportedOtherCalls;
		if (others !== undefined) {
			this._services.get(server.declared.service)?.recordCallsOfOtherVms(others);
		}
	}

	/** Handles the result of a load probe; `report` is undefined without an answer. Returns the probed backend server, or undefined for an unknown id. */
	onLoadProbeEnded({loadProbeId, report, isRefused = false}: CallEvent & {type: 'measured'}, now: Instant): BackendServerState | undefined {
		const pending = this._pendingLoadProbes.get(loadProbeId);
		this._pendingLoadProbes.delete(loadProbeId);
		if (pending === undefined) {
			return undefined;
		}

		const {server, sentAt, via} = pending;
		if (report === undefined) {
			server.unansweredProbes++;
			this._context.links.onTrouble(server.identity, now);
			if (isRefused && this._processEnds.isProof(via)) {
				this._processEnds.onSign(server, server.report?.instance, 'load-probe-refused', now);
			}

			return server;
		}

		this._processEnds.onResponse(server, sentAt, now);

		server.unansweredProbes = 0;
		this.applyAnswerReport(server, report, now);
		this.rateLimits.applyProbe(server, report.rateLimit, sentAt, now);
		if (server.health === 'doubted') {
			server.applyHealthEvent('ANSWERED', now);
		}

		return server;
	}

	/** Sends a load probe at once. */
	startLoadProbe(server: BackendServerState, now: Instant): void {
		this._startLoadProbe(server, now);
	}

	/** Takes one load probe from the budget of a backend server; false = none is left. */
	tryTakeProbe(identity: BackendServerIdentity, now: Instant): boolean {
		const server = this._servers.get(identity);
		const service = server === undefined ? undefined : this._services.get(server.declared.service);
		if (server === undefined || service === undefined) {
			return false;
		}

		const {measuring} = service.declared;
		return service.isMeasuredOnDemand ? server.demandAllowance.tryTake(measuring, vmCountOf(this._context), now) : server.loadProbeSchedule.trySpend(measuring, this._context.shares, now);
	}

	/** Path of the load endpoint of a service's backend servers. */
	loadPathOf(service: string): string {
		return this._services.get(service)?.declared.measuring.path ?? '/load';
	}

	/** Applies a change of the path to a backend server. */
	applyLinkState(server: BackendServerState, state: LinkState, now: Instant): void {
		server.isUnreachable = state === 'unreachable';
		if (!server.isUnreachable) {
			server.forgetFailures(now);
		}

		const service = this._services.get(server.declared.service);
		if (service !== undefined) {
			service.setVmCount(vmCountOf(this._context));
			this._context.servicesToDrain.add(service);
		}
	}

	/** Sends a load probe, if the budget permits, while it is unknown whether a reset was the end of the process. */
	verifyProcess(server: BackendServerState, now: Instant): void {
		const service = this._services.get(server.declared.service);
		if (service === undefined || !this._processEnds.isUndecided(server)) {
			return;
		}

		const {measuring} = service.declared;
		if (!service.isMeasuredOnDemand) {
			if (server.loadProbeSchedule.trySpend(measuring, this._context.shares, now)) {
				this._startLoadProbe(server, now);
			}
		} else if (server.probeSentAt === undefined && server.demandAllowance.tryTake(measuring, vmCountOf(this._context), now)) {
			server.probeSentAt = now;
			this._startLoadProbe(server, now);
		}
	}

	/**
	 * Records the arrival of a call. The first call after an idle period restores the normal rate of load probes, with a
	 * random phase for each backend server: a rush of calls reaches all VMs at once, and their probes must not coincide.
	 */
	recordCall(service: ServiceState, now: Instant): void {
		const wasIdle = now - service.lastCallAt > idleAfterMilliseconds;
		service.lastCallAt = now;
		if (!wasIdle || service.isMeasuredOnDemand) {
			return;
		}

		for (const server of service.servers) {
			server.loadProbeSchedule.start(now, this._context.random.next());
			this._scheduleLoadProbeCheck(server, now);
		}
	}

	/** Sends the load probes that are due, within the budget. */
	startDueLoadProbes(now: Instant): void {
		for (let server = this._loadProbeChecks.takeDue(now); server !== undefined; server = this._loadProbeChecks.takeDue(now)) {
			if (this._servers.get(server.identity) === server) {
				this._checkLoadProbe(server, now);
			}
		}
	}

	statuses(now: Instant): BackendServerStatus[] {
		return Array.from(this._servers.values(), server => this._status(server, now));
	}

	private _applyEvidence({identity, crash, suspects, isCrashCertain, cleared = [], ageMilliseconds}: LoadUpdate, now: Instant): void {
		const {poisonRequests} = this._context;
		const at = now - Math.max(0, ageMilliseconds);
		if (crash !== undefined && isCrashCertain === true) {
			poisonRequests.applyPeerCrash({crash, server: identity, suspects}, at, now);
		}

		for (const fingerprint of cleared) {
			poisonRequests.applyPeerClearing(fingerprint, at, now);
		}
	}

	private _setRetryBurstShare(service: ServiceState): void {
		const {retryBurst} = this._context.settings;
		if (retryBurst !== undefined) {
			service.retryBudget.setBurstShare(retryBurst, vmCountOf(this._context));
		}
	}

	/** Groups the backend servers by service in one pass. A pass per service would cost services times backend servers at each change. */
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
			const existing = this._servers.get(identity);
			if (existing === undefined) {
				this._addOrRestore(identity, declared, now, isFirst);
			} else if (isLaterProcess(existing.declared, declared)) {
				this._replaceProcess(existing, declared, now);
			} else {
				updateDeclaration(existing, declared, now);
			}
		}

		for (const [identity, server] of this._servers) {
			if (!configuration.backendServers.has(identity)) {
				if (!server.isLeaving) {
					this._processEnds.onSign(server, server.report?.instance, 'entry-removed', now);
				}

				this._servers.delete(identity);
				this._removed.keep(server, configuration.backendServers.size);
				this.rateLimits.onRemoved(server);
			}
		}

		this._context.links.retain(this._servers);
		for (const server of this._servers.values()) {
			this._updateEvacuation(server, configuration, now);
		}
	}

	private _updateEvacuation(server: BackendServerState, {evacuatedDataCentres, warmUpLimits}: CallConfiguration, now: Instant): void {
		const isEvacuated = evacuatedDataCentres?.has(server.declared.dataCentre) === true;
		const warmUp = warmUpLimits?.get(server.declared.service);
		if (server.isEvacuated && !isEvacuated && warmUp !== undefined) {
			server.warmUp.assume(now + warmUp.milliseconds);
		}

		server.isEvacuated = isEvacuated;
	}

	/** Uses the record of before if the entry of a process was missing for a while. */
	private _addOrRestore(identity: BackendServerIdentity, declared: BackendServerInForce, now: Instant, isWarm: boolean): void {
		const server = this._removed.take(identity, declared);
		if (server === undefined) {
			this._add(identity, declared, now, isWarm);
			return;
		}

		this._register(server, now);
		updateDeclaration(server, declared, now);
		this.rateLimits.onReturned(server);
		this.rateLimits.onRegistered(server);
	}

	private _add(identity: BackendServerIdentity, declared: BackendServerInForce, now: Instant, isWarm: boolean): void {
		const server = new BackendServerState(identity, declared, this._context.tuning, now, isWarm);
		this._register(server, now);
		this.rateLimits.onRegistered(server);
	}

	private _register(server: BackendServerState, now: Instant): void {
		server.isUnreachable = this._context.links.pathTo(server.identity).state === 'unreachable';
		this._servers.set(server.identity, server);
		server.loadProbeSchedule.start(now, this._context.random.next());
		this._scheduleLoadProbeCheck(server, now);
	}

	/**
	 * Creates a new record for a process that restarted under the same identity. With the old record, the new process would
	 * look full, failing or leaving because of its predecessor's reports, failures and open attempts, and a late report of
	 * the old process would be applied to the new one. Open attempts and load probes keep the old record until they end.
	 */
	private _replaceProcess(previous: BackendServerState, declared: BackendServerInForce, now: Instant): void {
		this._processEnds.onSign(previous, previous.report?.instance, 'process-replaced', now);
		if (previous.loadProbeTimer !== undefined) {
			this._loadProbeChecks.remove(previous.loadProbeTimer);
		}

		this._add(previous.identity, declared, now, false);
		this._context.replacedServers.push(previous);
	}

	private _applyReport(server: BackendServerState, report: LoadReport, madeAt: Instant, now: Instant): void {
		const previous = server.report;
		const gap = madeAt - server.reportedAt;
		const effect = server.applyReport(report, madeAt, now);
		if (effect.isAccepted) {
			this._services.get(server.declared.service)?.answerTimes.addReport(report.workTimeFactor, previous?.workTimeFactor, gap);
			this._services.get(server.declared.service)?.headroom.add(report);
		}

		if (effect.replacedInstance !== undefined) {
			this._processEnds.onSign(server, effect.replacedInstance, 'process-replaced', now);
		}

		// A new process is also sent to the peers, so that they drop the leaving sign of the previous process.
		if (effect.beganToLeave || effect.replacedInstance !== undefined) {
			this._sendToPeers(server, report);
		}
	}

	private _sendToPeers(server: BackendServerState, report: LoadReport): void {
		this._context.effects.push({
			type: 'tell-peers',
			update: {
				identity: server.identity, report, ageMilliseconds: 0, suspects: [], crash: undefined,
			},
		});
	}

	private _checkLoadProbe(server: BackendServerState, now: Instant): void {
		const service = this._services.get(server.declared.service);
		if (service?.isMeasuredOnDemand === true) {
			server.loadProbeTimer = undefined;
			return;
		}

		const {shares} = this._context;
		const isIdle = service === undefined || now - service.lastCallAt > idleAfterMilliseconds;
		const need = {at: server.reportedAt, isIdle};
		const dueAt = service === undefined ? undefined : server.loadProbeSchedule.dueAt(service.declared.measuring, shares, need, now);
		if (service === undefined || dueAt === undefined) {
			this._scheduleLoadProbeCheck(server, now + checkIntervalMilliseconds);
			return;
		}

		if (dueAt <= now && server.loadProbeSchedule.trySpend(service.declared.measuring, shares, now)) {
			this._startLoadProbe(server, now);
		}

		const next = server.loadProbeSchedule.dueAt(service.declared.measuring, shares, {...need, at: server.reportedAt}, now) ?? now + checkIntervalMilliseconds;
		this._scheduleLoadProbeCheck(server, Math.max(next, now + 1));
	}

	/** Schedules the next check of a backend server, replacing the one that was scheduled before. */
	private _scheduleLoadProbeCheck(server: BackendServerState, at: Instant): void {
		if (server.loadProbeTimer !== undefined) {
			this._loadProbeChecks.remove(server.loadProbeTimer);
		}

		server.loadProbeTimer = this._loadProbeChecks.add(at, server);
	}

	private _startLoadProbe(server: BackendServerState, now: Instant): void {
		const loadProbeId = this._nextLoadProbeId++;
		const measuring = this._services.get(server.declared.service)?.declared.measuring;
		const {via} = this._context.links.pathTo(server.identity);
		this._pendingLoadProbes.set(loadProbeId, {server, sentAt: now, via});
		this._context.effects.push({
			type: 'measure',
			service: server.declared.service,
			path: measuring?.path ?? '/load',
			loadProbeId,
			identity: server.identity,
			address: server.declared.address,
			port: server.declared.port,
			processStartedAt: server.declared.processStartedAt,
			via,
			timeoutMilliseconds: measuring?.mode === 'on-demand' ? onDemandProbeTimeoutMilliseconds : loadProbeTimeoutMilliseconds,
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
			measuringSpent: budget === undefined ? 0 : server.loadProbeSchedule.spent(budget, now),
			measuringAllowed: budget === undefined ? 0 : LoadProbeSchedule.allowed(budget, this._context.shares, now),
		};
	}
}

/** Whether the declaration belongs to a process that started after the existing one under the same identity. */
function isLaterProcess(existing: BackendServerInForce, declared: BackendServerInForce): boolean {
	return declared.processStartedAt !== undefined && declared.processStartedAt > (existing.processStartedAt ?? Infinity);
}

/** Applies a changed declaration. A backend server whose declared `isLeaving` is withdrawn counts as returned. */
function updateDeclaration(server: BackendServerState, declared: BackendServerInForce, now: Instant): void {
	const hasReturned = server.declared.isLeaving && !declared.isLeaving;
	if (declared.warmUntil !== undefined && declared.warmUntil !== server.declared.warmUntil) {
		server.warmUp.applyEntry(declared.warmUntil);
	}

	server.declared = declared;
	if (declared.isLeaving) {
		server.applyHealthEvent('LEAVE', now);
	} else if (hasReturned) {
		server.applyHealthEvent('RETURN', now);
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
