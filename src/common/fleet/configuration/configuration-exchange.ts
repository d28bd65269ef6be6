/**
 * Spreads configuration changes among the VMs, so that only a few need to watch the platform's service. Each VM pushes a
 * change when it first receives it. A VM that missed the push sees the newer version in the next peer message and pulls.
 */
import {type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type Membership} from '../membership/membership.ts';
import {type ChangeRecord, type MemberRecord, type PeerBody} from '../peer-messages.ts';
import {type ConfigurationVersion, type PeerAddress} from '../types.ts';
import {type ConfigurationState} from './configuration-state.ts';

/**
 * Number of peers to which each VM pushes a change. With 4, a given VM gets no push with a probability of about
 * e^-4 = 2%; the versions in probes make it pull within about one probe interval.
 */
const changePushTargets = 4;

/**
 * A pull without an answer or a further page for this time is retried with another VM. The time spans many round trips,
 * and is short enough that a VM that resumes beside two dead ones is up to date before it places calls.
 */
const pullTimeoutMilliseconds: Milliseconds = 150;

/** Resources per page of a snapshot: about 100 KB, far below the size limit of a message. */
const resourcesPerPage = 250;

/** Maximum number of records per message; a VM that is further behind gets a snapshot. */
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

	/** Newest version that any VM has reported. */
	get newestKnown(): ConfigurationVersion {
		return Math.max(this._newestKnown, this._state.version);
	}

	/** Records a sender's version, and pulls from it if it is newer. Without a configuration, this VM pulls from any sender that serves. */
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

	/** Collects the pages of a snapshot. Pages of different versions or senders are never combined, as a change must not come into force in part. */
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

	/** Sends a peer the changes after its version, or a snapshot; `after` is -1 if the peer has no configuration. */
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

	/** Pushes changes to some members that are behind. Called whenever a newer configuration has come into force. */
	push(): void {
		const {version} = this._state;
		const behind = this._membership.live.filter(({record}) => record.configurationVersion < version);
		const targets = this._context.pickRandom(behind, changePushTargets);
		for (const {record} of targets) {
			const records = this._state.recordsAfter(record.configurationVersion)?.slice(0, maxRecordsPerMessage);
			if (records && records.length > 0) {
				this._send(record.peerAddress, {type: 'changes', records: [...records]});
			}
		}
	}

	private _pull(from: PeerAddress): void {
		this._pullSource = from;
		// -1 requests any configuration, even an empty one, as versions start at 0.
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
		// The VM that did not answer may have failed undetected: it is used again only if no other VM is ahead.
		const others = ahead.filter(({record}) => record.peerAddress !== this._pullSource);
		const [member] = this._context.pickRandom(others.length > 0 ? others : ahead, 1);
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
