/**
 * Counters and histograms as a page in the Prometheus text format, for operators who pull metrics instead of receiving
 * them. Memory is bounded: histograms have fixed buckets, and the label values are declared services.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type CallSummary, type PoisonRequestChange} from '../../common/calls/types.ts';
import {askOutcomes} from '../../common/limits/ask-outcomes.ts';
import {type LinkState} from '../../common/links/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type HeldKind} from '../memory/held-memory.ts';
import {OrganisationTally} from './organisation-tally.ts';
import {
	heldKindName, keyRefusalReason, type Metrics, type RoomReason, type VmGauges,
} from './types.ts';

/** Upper bounds of the histogram buckets in milliseconds, from 50 ms to 10 s in steps of a factor of about two or less; narrower around the usual objectives. */
const buckets: Milliseconds[] = [50, 100, 150, 200, 300, 400, 600, 800, 1200, 2500, 5000, 10_000];

export class PageMetrics implements Metrics {
	private readonly _registry = new Registry();
	private readonly _calls = this._counter('jaydale_calls_total', 'Calls that have ended.', ['service', 'outcome', 'reason', 'good']);
	private readonly _organisationTally = new OrganisationTally();
	private readonly _organisationCalls = new Gauge({
		name: 'jaydale_organisation_calls',
		help: 'Calls that ended in the last complete minute, of the ten organisations with the most on this VM and of all others together.',
		labelNames: ['organisation', 'good'],
		registers: [this._registry],
	});

	private readonly _refusedKeys = this._counter('jaydale_refused_keys_total', 'Calls refused because they had no key of an organisation.', ['reason']);
	private readonly _callsByPriority = this._counter('jaydale_calls_by_priority_total', 'Calls that have ended, by priority; 0 is the most urgent.', ['service', 'priority', 'reason']);
	private readonly _cutAnswers = this._counter('jaydale_cut_answers_total', 'Answers whose connection ended before they were out.', ['closed_by']);
	private readonly _connectionsClosedForRoom = this._counter('jaydale_connections_closed_for_room_total', 'Connections closed so that others have room.', ['listener', 'reason']);
	private readonly _attempts = this._counter('jaydale_attempts_total', 'Attempts at backend servers.', ['service']);
	private readonly _evacuations = new Gauge({name: 'jaydale_evacuated_data_centres', help: 'Data centres that this VM sends no new calls to.', registers: [this._registry]});
	private readonly _storeEra = new Gauge({name: 'jaydale_store_era', help: 'Era of the store; it rises when the store is restored from a backup.', registers: [this._registry]});
	private readonly _restoredStores = this._counter('jaydale_restored_stores_total', 'Restores of the store from a backup that this VM has seen.', []);
	private readonly _limitedServers = new Gauge({name: 'jaydale_rate_limited_backend_servers', help: 'Backend servers that name a rate limit.', registers: [this._registry]});
	private readonly _unreadableLimits = this._counter('jaydale_unreadable_rate_limits_total', 'Backend servers that began to name a rate limit which cannot be read.', ['service']);
	private readonly _withheld = this._counter('jaydale_rate_limit_withheld_total', 'Calls kept from a backend server by its rate limit.', ['service']);
	private readonly _limitAsks = this._counter('jaydale_organisation_limit_asks_total', 'Requests for tokens of rate limits of organisations, by call and slot.', ['outcome']);
	private readonly _poisonRequestChanges = this._counter('jaydale_poison_request_changes_total', 'Crashes with calls in flight, and calls quarantined or cleared of suspicion.', ['change']);
	private readonly _quarantined = new Gauge({name: 'jaydale_quarantined_calls', help: 'Calls that are refused because backend servers crashed while running them.', registers: [this._registry]});
	private readonly _lostLinks = new Gauge({name: 'jaydale_lost_links', help: 'Backend servers that this VM has no direct link to.', registers: [this._registry]});
	private readonly _linkChanges = this._counter('jaydale_link_changes_total', 'Changes of the path to a backend server.', ['state']);
	private readonly _attemptPaths = this._counter('jaydale_attempt_paths_total', 'Attempts by the path of their connection.', ['path']);
	private readonly _tunnels = this._counter('jaydale_tunnels_total', 'Connections to backend servers that other VMs asked this one for.', ['result']);
	private readonly _rejectedConfigurations = this._counter('jaydale_rejected_configurations_total', 'Configurations that could not be read.', ['route']);
	private readonly _loadProbes = this._counter('jaydale_measuring_calls_total', 'Calls made to learn a load.', ['service']);
	private readonly _storeCalls = this._counter('jaydale_store_calls_total', 'Requests to the store.', ['operation', 'reply']);
	private readonly _peerBytes = this._counter('jaydale_peer_bytes_total', 'Bytes between VMs.', ['direction']);
	private readonly _operatorAnswers = this._counter('jaydale_operator_answers_total', 'Answers to operators.', ['method', 'status']);
	private readonly _limitDatagrams = this._counter('jaydale_limit_datagrams_total', 'Datagrams about rate limits of organisations.', ['result']);
	private readonly _unexpectedErrors = this._counter('jaydale_unexpected_errors_total', 'Exceptions that no part of the program has caught.', []);
	private readonly _heldLimitSlots = new Gauge({name: 'jaydale_held_limit_slots', help: 'Slots of the rate limits for which this VM may grant.', registers: [this._registry]});
	private readonly _limitRightAge = new Gauge({name: 'jaydale_limit_right_age_milliseconds', help: 'Time since the oldest renewal of these slots was sent; 0 if there is none.', registers: [this._registry]});
	private readonly _memoryRefusals = this._counter('jaydale_memory_refusals_total', 'What found no room in memory.', ['kind']);
	private readonly _callTimes = this._histogram('jaydale_call_milliseconds', 'From the arrival of a call to its end.', ['service']);
	private readonly _queueTimes = this._histogram('jaydale_queued_milliseconds', 'From the arrival of a call to its first attempt.', ['service']);
	private readonly _storeTimes = this._histogram('jaydale_store_milliseconds', 'Requests to the store.', ['operation']);
	private readonly _gauges = new Map<string, Gauge>();

	callEnded({service, outcome, reason, attempts, milliseconds, queuedMilliseconds, isGood, grounds, limit, priority}: CallSummary): void {
		if (priority !== undefined) {
			this._callsByPriority.inc({service, priority, reason: reason ?? ''});
		}

		for (const [outcome, asks] of askOutcomes(limit)) {
			this._limitAsks.inc({outcome}, asks);
		}

		if ((grounds?.rateLimited ?? 0) > 0) {
			this._withheld.inc({service});
		}

		this._calls.inc({
			service, outcome, reason: reason ?? '', good: String(isGood),
		});
		this._attempts.inc({service}, attempts);
		this._callTimes.observe({service}, milliseconds);
		this._queueTimes.observe({service}, queuedMilliseconds);
	}

	organisationCallEnded(organisation: string, isGood: boolean): void {
		this._organisationTally.record(organisation, isGood, performance.now());
	}

	keyRefused(isKeySent: boolean): void {
		this._refusedKeys.inc({reason: keyRefusalReason(isKeySent)});
	}

	answerCut(closedBy: 'caller' | 'here'): void {
		this._cutAnswers.inc({closed_by: closedBy});
	}

	connectionClosedForRoom(listener: string, reason: RoomReason): void {
		this._connectionsClosedForRoom.inc({listener, reason});
	}

	evacuations(dataCentres: number): void {
		this._evacuations.set(dataCentres);
	}

	storeEra(era: number, isRestored: boolean): void {
		this._storeEra.set(era);
		if (isRestored) {
			this._restoredStores.inc();
		}
	}

	rateLimits(limitedServers: number): void {
		this._limitedServers.set(limitedServers);
	}

	rateLimitUnreadable(service: string): void {
		this._unreadableLimits.inc({service});
	}

	poisonRequests(change: PoisonRequestChange['kind'], quarantined: number): void {
		this._poisonRequestChanges.inc({change});
		this._quarantined.set(quarantined);
	}

	linkChanged(state: LinkState, lostLinks: number): void {
		this._linkChanges.inc({state});
		this._lostLinks.set(lostLinks);
	}

	attemptStarted(path: 'direct' | 'relayed'): void {
		this._attemptPaths.inc({path});
	}

	tunnelRequested(result: string): void {
		this._tunnels.inc({result});
	}

	configurationRejected(route: string | undefined): void {
		this._rejectedConfigurations.inc({route: route ?? ''});
	}

	loadProbeSent(service: string): void {
		this._loadProbes.inc({service});
	}

	platformCalled(operation: string, reply: string, milliseconds: Milliseconds): void {
		this._storeCalls.inc({operation, reply});
		this._storeTimes.observe({operation}, milliseconds);
	}

	peerTraffic(direction: 'in' | 'out', _messages: number, bytes: number): void {
		this._peerBytes.inc({direction}, bytes);
	}

	operatorAnswered(method: string, status: number): void {
		this._operatorAnswers.inc({method, status: String(status)});
	}

	limitDatagram(result: 'sent' | 'received' | 'failed' | 'malformed'): void {
		this._limitDatagrams.inc({result});
	}

	unexpectedError(): void {
		this._unexpectedErrors.inc();
	}

	limitRights(heldSlots: number, age: Milliseconds): void {
		this._heldLimitSlots.set(heldSlots);
		this._limitRightAge.set(age);
	}

	memoryRefused(kind: HeldKind): void {
		this._memoryRefusals.inc({kind: heldKindName[kind]});
	}

	gauges(values: VmGauges): void {
		for (const [name, value] of Object.entries(values)) {
			const gauge = this._gauges.get(name) ?? new Gauge({name: `jaydale_${name}`, help: name, registers: [this._registry]});
			this._gauges.set(name, gauge);
			gauge.set(value);
		}
	}

	/** Returns the page in the Prometheus text format. */
	async text(): Promise<string> {
		// A gauge and not a counter, since an organisation may leave or join the ten largest.
		this._organisationCalls.reset();
		for (const {organisation, good, bad} of this._organisationTally.largest(performance.now())) {
			this._organisationCalls.set({organisation, good: 'true'}, good);
			this._organisationCalls.set({organisation, good: 'false'}, bad);
		}

		return this._registry.metrics();
	}

	private _counter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
		return new Counter({
			name, help, labelNames, registers: [this._registry],
		});
	}

	private _histogram<Label extends string>(name: string, help: string, labelNames: Label[]): Histogram<Label> {
		return new Histogram({
			name, help, labelNames, buckets, registers: [this._registry],
		});
	}
}
