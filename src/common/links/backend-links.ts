/**
 * Decides by which path this VM reaches each backend server. A failed contact alone does not show whether the backend
 * server or the link to it is at fault, so the direct path is checked and, if that fails, one through another VM.
 */
import chart from '../../../charts/backend-link.json' with {type: 'json'};
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {chartTable} from '../state/chart-table.ts';
import {RelaySelector} from './relay-selector.ts';
import {
	type LinkChange, type LinkCheck, type LinkCheckId, type LinkCheckResult, type LinkState, type Path, type Relay, type RelayAddress,
} from './types.ts';

/** Timeout of a check of the direct link: several round trips between data centres. */
const directTimeoutMilliseconds: Milliseconds = 100;

/** Timeout of a check through a relay, which opens a connection first. */
const relayedTimeoutMilliseconds: Milliseconds = 250;

/** Minimum interval between two checks of one backend server; while its link seems intact, it doubles with each one without a result. */
const minCheckIntervalMilliseconds: Milliseconds = 200;
const maxCheckIntervalMilliseconds: Milliseconds = 3200;

/** Interval at which one lost link of each service is checked for its return. */
const recheckMilliseconds: Milliseconds = 300;

/** Minimum interval at which relays are asked for an unreachable backend server; its direct link is checked more often. */
const relayIntervalMilliseconds: Milliseconds = 1000;

/** Relays that are asked in one check: those that have no link themselves say so within a round trip. */
const maxRelaysPerCheck = 8;

/** Relays for which one check waits until the timeout. */
const maxTimeoutsPerCheck = 2;

/** Checks in flight when all links are checked, so that hundreds of them do not open at once. */
const maxChecksInFlight = 16;

/** Minimum interval between two checks of all links. */
const sweepIntervalMilliseconds: Milliseconds = 2000;

/** If no backend server has responded for this long, those that fail are unreachable from here and not just slow. */
const maxSilenceMilliseconds: Milliseconds = 500;

const directPath: Path = {state: 'direct', via: undefined};

const table = chartTable<LinkState>(chart);

type LinkEvent = 'RELAY_FOUND' | 'NO_RELAY' | 'REGAINED';

/** What is needed of a backend server to check the path to it. */
export type LinkTarget = {
	readonly identity: string;
	readonly declared: {readonly service: string; readonly address: string; readonly port: number; readonly dataCentre: string; readonly processStartedAt?: number};
};

/** A running check of one backend server. */
type RunningCheck = {
	direct: LinkCheckResult | 'pending';
	/** Undefined = not checked. */
	relayed: LinkCheckResult | 'pending' | undefined;
	via: RelayAddress | undefined;
	/** Checks only whether the direct link has returned. */
	readonly isDirectOnly: boolean;
	readonly tried: Set<RelayAddress>;
	timeouts: number;
};

type RelayedResult = {readonly run: RunningCheck; readonly via: RelayAddress; readonly result: LinkCheckResult; readonly hint: RelayAddress | undefined};

type Link = {
	path: Path;
	check: RunningCheck | undefined;
	checkedAt: Instant;
	relaysAskedAt: Instant;
	interval: Milliseconds;
};

/** Dependencies and listeners of the links. */
export type BackendLinksOptions = {
	readonly random: RandomSource;
	readonly dataCentre: string;
	/** The backend servers in force. */
	readonly targets: () => Iterable<LinkTarget>;
	readonly find: (identity: string) => LinkTarget | undefined;
	/** Takes a load probe from the budget of this backend server; false = none is left. */
	readonly takeProbe: (identity: string, now: Instant) => boolean;
	readonly loadPathOf: (service: string) => string;
	readonly onCheck: (check: LinkCheck) => void;
	readonly onChanged: (change: LinkChange, now: Instant) => void;
	/** This VM and another one, which has links, have found that the process does not accept connections. */
	readonly onEnded: (identity: string, now: Instant) => void;
};

export class BackendLinks {
	private readonly _options: BackendLinksOptions;
	private readonly _relays: RelaySelector;
	/** Backend servers with a failed contact; all others have a direct link. */
	private readonly _links = new Map<string, Link>();
	private readonly _pending = new Map<LinkCheckId, {readonly identity: string; readonly via: RelayAddress | undefined; readonly run: RunningCheck}>();
	/** Backend servers whose check waits for others to end. */
	private readonly _queue = new Set<string>();
	private readonly _recheckAt = new Map<string, Instant>();
	private _contactAt: Instant = Number.NEGATIVE_INFINITY;
	private _sweptAt: Instant = Number.NEGATIVE_INFINITY;
	private _lastCheckId = 0;
	private _lostLinks = 0;

	constructor(options: BackendLinksOptions) {
		this._options = options;
		this._relays = new RelaySelector(options.random, options.dataCentre);
	}

	/** Whether other VMs can confirm what this one sees. Without any, a refused connection counts as the end of the process. */
	get hasRelays(): boolean {
		return this._relays.size > 0;
	}

	get lostLinks(): number {
		return this._lostLinks;
	}

	/** When `runDue` is needed; undefined = not before the next event. */
	get nextAt(): Instant | undefined {
		return this._recheckAt.size === 0 ? undefined : Math.min(...this._recheckAt.values());
	}

	pathTo(identity: string): Path {
		return this._lostLinks === 0 ? directPath : this._links.get(identity)?.path ?? directPath;
	}

	/** A VM to ask for a connection to this backend server; undefined = none is left besides those in `tried`. */
	nextRelay(identity: string, tried: ReadonlySet<RelayAddress>, now: Instant): RelayAddress | undefined {
		const target = this._options.find(identity);
		return target === undefined ? undefined : this._relays.choose(target.declared, tried, now);
	}

	/** A VM that was asked for a connection to a backend server has opened one, or has no link itself. */
	onRelayAsked(identity: string, via: RelayAddress, hasLink: boolean, now: Instant): void {
		if (hasLink) {
			this._relays.recordSuccess(via);
		} else {
			this._relays.recordNoLink(via, this._serviceOf(identity), now);
		}
	}

	/** Sets the other VMs that serve. Paths through VMs that no longer do lead through others. */
	setRelays(relays: readonly Relay[], now: Instant): void {
		this._relays.set(relays);
		for (const [identity, {path}] of this._links) {
			if (path.via !== undefined && !this._relays.has(path.via)) {
				this._replaceRelay(identity, now);
			}
		}
	}

	/** Forgets backend servers that are no longer in force. */
	retain(identities: {has(identity: string): boolean}): void {
		for (const [identity, {path}] of this._links) {
			if (!identities.has(identity)) {
				this._links.delete(identity);
				this._queue.delete(identity);
				this._lostLinks -= path.state === 'direct' ? 0 : 1;
			}
		}
	}

	/** Some backend server has responded, by any path. */
	onContact(now: Instant): void {
		this._contactAt = now;
	}

	/** A contact with this backend server has failed. */
	onTrouble(identity: string, now: Instant): void {
		if (this.hasRelays) {
			this._startCheck(identity, false, now);
		}
	}

	/** A check has ended. `hint` = a relay that works for the one that was asked. */
	onChecked(checkId: LinkCheckId, result: LinkCheckResult, hint: RelayAddress | undefined, now: Instant): void {
		const pending = this._pending.get(checkId);
		this._pending.delete(checkId);
		const link = pending === undefined ? undefined : this._links.get(pending.identity);
		if (pending === undefined || link?.check !== pending.run) {
			this._startQueued(now);
			return;
		}

		const {identity, via, run} = pending;
		if (result === 'answered') {
			this.onContact(now);
		}

		if (via === undefined) {
			run.direct = result;
		} else {
			this._onRelayed(identity, {
				run, via, result, hint,
			}, now);
		}

		this._evaluate(identity, link, now);
		this._startQueued(now);
	}

	/** Checks lost links that are due. */
	runDue(now: Instant): void {
		for (const [service, at] of this._recheckAt) {
			if (at > now) {
				continue;
			}

			const lost = [...this._links].filter(([identity, {path}]) => path.state !== 'direct' && this._serviceOf(identity) === service);
			if (lost.length === 0) {
				this._recheckAt.delete(service);
				continue;
			}

			this._recheckAt.set(service, now + recheckMilliseconds);
			const [oldest] = lost.toSorted(([, one], [, other]) => one.checkedAt - other.checkedAt);
			this._startCheck(oldest![0], true, now);
		}
	}

	private _startCheck(identity: string, isRecheck: boolean, now: Instant): void {
		const target = this._options.find(identity);
		const link = this._links.get(identity) ?? {
			path: directPath, check: undefined, checkedAt: Number.NEGATIVE_INFINITY, relaysAskedAt: Number.NEGATIVE_INFINITY, interval: minCheckIntervalMilliseconds,
		};
		const isDue = isRecheck || now - link.checkedAt >= link.interval;
		if (target === undefined || link.check !== undefined || !isDue || !this._options.takeProbe(identity, now)) {
			return;
		}

		const isDirectOnly = isRecheck && (link.path.state === 'relayed' || now - link.relaysAskedAt < relayIntervalMilliseconds);
		link.check = {
			direct: 'pending', relayed: undefined, via: undefined, isDirectOnly, tried: new Set(), timeouts: 0,
		};
		link.checkedAt = now;
		this._links.set(identity, link);
		this._send(target, link.check, undefined);
	}

	private _askNextRelay(target: LinkTarget, run: RunningCheck, preferred: RelayAddress | undefined, now: Instant): void {
		const isEnough = run.tried.size >= maxRelaysPerCheck || run.timeouts >= maxTimeoutsPerCheck;
		const isUsable = preferred !== undefined && this._relays.has(preferred) && !run.tried.has(preferred);
		const via = isEnough ? undefined : (isUsable ? preferred : this._relays.choose(target.declared, run.tried, now));
		run.via = via;
		if (via === undefined) {
			run.relayed = run.timeouts > 0 ? 'failed' : 'no-relay';
			return;
		}

		run.tried.add(via);
		run.relayed = 'pending';
		this._send(target, run, via);
	}

	private _send({identity, declared}: LinkTarget, run: RunningCheck, via: RelayAddress | undefined): void {
		const checkId = ++this._lastCheckId;
		this._pending.set(checkId, {identity, via, run});
		this._options.onCheck({
			checkId,
			service: declared.service,
			path: this._options.loadPathOf(declared.service),
			identity,
			address: declared.address,
			port: declared.port,
			processStartedAt: declared.processStartedAt,
			via,
			timeoutMilliseconds: via === undefined ? directTimeoutMilliseconds : relayedTimeoutMilliseconds,
		});
	}

	private _onRelayed(identity: string, {run, via, result, hint}: RelayedResult, now: Instant): void {
		if (result === 'answered' || result === 'refused') {
			this._relays.recordSuccess(via);
			run.relayed = result;
			return;
		}

		if (result === 'no-relay') {
			this._relays.recordNoLink(via, this._serviceOf(identity), now);
		} else {
			this._relays.recordTimeout(via, now);
			run.timeouts++;
		}

		const target = this._options.find(identity);
		if (target !== undefined) {
			this._askNextRelay(target, run, hint, now);
		}
	}

	private _evaluate(identity: string, link: Link, now: Instant): void {
		const run = link.check!;
		if (run.direct === 'pending') {
			return;
		}

		if (run.direct === 'answered') {
			this._endCheck(link, true);
			this._apply(identity, link, 'REGAINED', undefined, now);
			return;
		}

		const target = this._options.find(identity);
		if (run.relayed === undefined && !run.isDirectOnly && target !== undefined) {
			link.relaysAskedAt = now;
			this._askNextRelay(target, run, link.path.via, now);
		}

		if (run.relayed === 'pending') {
			return;
		}

		this._endCheck(link, run.relayed === 'answered');
		switch (run.relayed) {
			case 'answered': {
				this._apply(identity, link, 'RELAY_FOUND', run, now);
				break;
			}

			case 'refused': {
				this._options.onEnded(identity, now);
				break;
			}

			case 'no-relay': {
				this._apply(identity, link, 'NO_RELAY', run, now);
				break;
			}

			case 'failed': {
				// It does not respond to other VMs either. That is its own fault as long as others respond.
				if (now - this._contactAt > maxSilenceMilliseconds) {
					this._apply(identity, link, 'NO_RELAY', run, now);
				}

				break;
			}

			case undefined: {
				// Only the return of the direct link was checked.
				break;
			}
		}
	}

	private _endCheck(link: Link, isConclusive: boolean): void {
		link.check = undefined;
		link.interval = isConclusive || link.path.state !== 'direct' ? minCheckIntervalMilliseconds : Math.min(link.interval * 2, maxCheckIntervalMilliseconds);
	}

	private _apply(identity: string, link: Link, event: LinkEvent, run: RunningCheck | undefined, now: Instant): void {
		const previous = link.path;
		const state = table.get(previous.state)?.get(event) ?? previous.state;
		const via = state === 'relayed' ? run?.via : undefined;
		if (state === previous.state && via === previous.via) {
			return;
		}

		link.path = {state, via};
		this._lostLinks += (state === 'direct' ? 0 : 1) - (previous.state === 'direct' ? 0 : 1);
		const service = this._serviceOf(identity);
		this._options.onChanged({
			identity, service, ...link.path, ...resultsOf(run), lostLinks: this._lostLinks,
		}, now);
		if (state === 'direct') {
			this._links.delete(identity);
			this._queueLost(service);
		} else if (previous.state === 'direct') {
			this._recheckAt.set(service, Math.min(this._recheckAt.get(service) ?? Infinity, now + recheckMilliseconds));
			this._sweep(now);
		}
	}

	/** Checks all other links: a VM usually loses the links to all backend servers at once. */
	private _sweep(now: Instant): void {
		if (now - this._sweptAt < sweepIntervalMilliseconds) {
			return;
		}

		this._sweptAt = now;
		for (const {identity} of this._options.targets()) {
			if (this.pathTo(identity).state === 'direct') {
				this._queue.add(identity);
			}
		}
	}

	/** A link of this service has returned, so the others have probably returned too. */
	private _queueLost(service: string): void {
		for (const [identity, {path}] of this._links) {
			if (path.state !== 'direct' && this._serviceOf(identity) === service) {
				this._queue.add(identity);
			}
		}
	}

	private _startQueued(now: Instant): void {
		for (const identity of this._queue) {
			if (this._pending.size >= maxChecksInFlight) {
				return;
			}

			this._queue.delete(identity);
			this._startCheck(identity, this.pathTo(identity).state !== 'direct', now);
		}
	}

	private _serviceOf(identity: string): string {
		return this._options.find(identity)?.declared.service ?? '';
	}

	private _replaceRelay(identity: string, now: Instant): void {
		const link = this._links.get(identity)!;
		const target = this._options.find(identity);
		const via = target === undefined ? undefined : this._relays.choose(target.declared, new Set(), now);
		const run: RunningCheck = {
			direct: 'failed', relayed: via === undefined ? 'no-relay' : undefined, via, isDirectOnly: false, tried: new Set(), timeouts: 0,
		};
		this._apply(identity, link, via === undefined ? 'NO_RELAY' : 'RELAY_FOUND', run, now);
	}
}

/** Results of a check; none = the direct link has responded. */
function resultsOf(run: RunningCheck | undefined): Pick<LinkChange, 'direct' | 'relayed'> {
	return run === undefined ? {direct: 'answered', relayed: undefined} : {direct: settled(run.direct), relayed: settled(run.relayed)};
}

function settled(result: LinkCheckResult | 'pending' | undefined): LinkCheckResult | undefined {
	return result === 'pending' ? undefined : result;
}
