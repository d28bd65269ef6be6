/**
 * Passes changes from VM to VM, so that few need to watch the platform's service. A change is pushed on at
 * first receipt; whoever missed it sees the newer version on the next message from anybody and pulls.
 */
import {type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type Membership} from '../membership/membership.ts';
import {type ChangeRecord, type MemberRecord, type PeerBody} from '../peer-messages.ts';
import {type ConfigurationVersion, type PeerAddress} from '../types.ts';
import {type ConfigurationState} from './configuration-state.ts';

/**
 * Peers that a VM pushes a change to. With 4, each of n VMs is missed by all of them with a chance of about
 * e^-4 = 2%; the probes' versions bring the rest within about one probe interval.
 */
const changePushTargets = 4;

/**
 * A pull that nobody answered, or that brings no further page, is tried again elsewhere after this: many round
 * trips, and short enough for a VM that wakes beside two dead ones to be up to date before it places calls.
 */
const pullTimeoutMilliseconds: Milliseconds = 150;

/** Resources on one page of a snapshot: about 100 KB, far below what a message may hold. */
const resourcesPerPage = 250;

/** Records in one message; a VM that is further behind gets the snapshot. */
const maxRecordsPerMessage = 200;

type PartialSnapshot = {readonly from: PeerAddress; readonly version: ConfigurationVersion; readonly pages: Map<number, PeerBody & {readonly type: 'snapshot-page'}>};

export class ConfigurationExchange {
	private readonly _onAdopted: () => void;
	private _newestKnown: ConfigurationVersion = 0;
	private _incoming: PartialSnapshot | undefined;
	private _pullSource: PeerAddress | undefined;

	constructor(
		private readonly _context: FleetContext,
		private readonly _state: ConfigurationState,
		private readonly _membership: Membership,
		private readonly _send: (to: PeerAddress, body: PeerBody) => void,
		onAdopted: () => void,
	) {
		this._onAdopted = onAdopted;
	}

	/** Newest version that anybody was heard to hold. */
	get newestKnown(): ConfigurationVersion {
		return Math.max(this._newestKnown, this._state.version);
	}

	/** A VM's own word on its version; pulls if it is ahead. A VM without any configuration asks everybody who has one. */
	handleSender(sender: MemberRecord): void {
		this._newestKnown = Math.max(this._newestKnown, sender.configurationVersion);
		const isAhead = sender.configurationVersion > this._state.version || (!this._state.isLoaded && sender.isServing);
		if (isAhead && !this._context.timers.has('pull')) {
			this._pull(sender.peerAddress);
		}
	}

	handleChanges(from: MemberRecord, records: readonly ChangeRecord[]): void {
		this._finishPull(this._state.adopt(records), from);
	}

	/** Pages of different versions or senders never mix: half of a change must not come into force. */
	handlePage(from: MemberRecord, body: PeerBody & {readonly type: 'snapshot-page'}): void {
		if (this._incoming?.from !== from.peerAddress || this._incoming.version !== body.version) {
			this._incoming = {from: from.peerAddress, version: body.version, pages: new Map()};
		}

		const {pages} = this._incoming;
		pages.set(body.page, body);
		if (pages.size < body.pages) {
			this._schedulePullRetry();
			return;
		}

		this._incoming = undefined;
		const all = [...pages.values()].toSorted((a, b) => a.page - b.page);
		const isReplaced = this._state.replace(body.version, all.flatMap(({resources}) => resources), all.at(-1)!.records);
		this._finishPull(isReplaced, from);
	}

	/** A peer asks for what came after the version it has; -1 = it has nothing. */
	answerRequest(to: PeerAddress, after: number): void {
		if (!this._state.isLoaded || (after >= this._state.version && after >= 0)) {
			return;
		}

		const records = after < 0 ? undefined : this._state.recordsAfter(after);
		if (records && records.length <= maxRecordsPerMessage) {
			this._send(to, {type: 'changes', records: [...records]});
		} else {
			this._sendSnapshot(to);
		}
	}

	/** Tells some that are behind. Called at each step forward, whatever brought it. */
	push(): void {
		const {version} = this._state;
		const behind = this._membership.live.filter(({record}) => record.configurationVersion < version);
		const targets = this._context.pick(behind, changePushTargets);
		for (const {record} of targets) {
			const records = this._state.recordsAfter(record.configurationVersion)?.slice(0, maxRecordsPerMessage);
			if (records && records.length > 0) {
				this._send(record.peerAddress, {type: 'changes', records: [...records]});
			}
		}
	}

	private _pull(from: PeerAddress): void {
		this._pullSource = from;
		// -1 asks for anything at all, even an empty configuration; versions start at 0.
		this._send(from, {type: 'changes-request', after: this._state.isLoaded ? this._state.version : -1});
		this._schedulePullRetry();
	}

	private _schedulePullRetry(): void {
		this._context.timers.set('pull', this._context.now + pullTimeoutMilliseconds, () => {
			this._retryPull();
		});
	}

	private _retryPull(): void {
		const ahead = this._membership.live.filter(({record}) => record.configurationVersion > this._state.version || (!this._state.isLoaded && record.isServing));
		// The one that did not answer may be dead and not known to be: it is asked again only if it is the only one.
		const others = ahead.filter(({record}) => record.peerAddress !== this._pullSource);
		const [member] = this._context.pick(others.length > 0 ? others : ahead, 1);
		if (member) {
			this._pull(member.record.peerAddress);
		}
	}

	private _sendSnapshot(to: PeerAddress): void {
		const resources = [...this._state.resources.values()];
		const pages = Math.max(1, Math.ceil(resources.length / resourcesPerPage));
		for (let page = 0; page < pages; page += 1) {
			const isLast = page === pages - 1;
			this._send(to, {
				type: 'snapshot-page',
				version: this._state.version,
				page,
				pages,
				resources: resources.slice(page * resourcesPerPage, (page + 1) * resourcesPerPage),
				records: isLast ? this._state.records.slice(-maxRecordsPerMessage) : [],
			});
		}
	}

	private _finishPull(isAdopted: boolean, from: MemberRecord): void {
		if (!isAdopted) {
			return;
		}

		this._context.timers.clear('pull');
		this._onAdopted();
		if (from.configurationVersion > this._state.version) {
			this._pull(from.peerAddress);
		}
	}
}
