/**
 * Which VMs there are, as far as this one can tell, in the manner of SWIM (Das, Gupta, Motivala 2002): records
 * that only their owners raise, verdicts of others, rumours with a bounded number of sends. No promise rests
 * on this knowledge: it only ever is an estimate.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type MemberRecord, type MemberUpdate, type PeerBody} from '../peer-messages.ts';
import {type PeerAddress, type VmIdentity} from '../types.ts';

/** From suspicion to death; time for a live VM to hear of it and refute. */
const suspicionTimeoutMilliseconds: Milliseconds = 3000;

/** Dead members are kept so long, to tell a late rumour from a new member; then forgotten. */
const deadMemberRetentionMilliseconds: Milliseconds = 600_000;

/** Others told at once when this VM refutes a verdict on itself. */
const refutationTargets = 3;

export type Verdict = MemberUpdate['verdict'];

/** A VM as known here. */
export type Member = {
	record: MemberRecord;
	verdict: Verdict;
	/** When this VM last had a message from it. */
	lastMessageAt: Instant;
	/** When the verdict was last changed. */
	verdictChangedAt: Instant;
	/** Sends of the latest rumour about it; it is passed on until this reaches the limit. */
	sendCount: number;
};

const verdictSeverity: Readonly<Record<Verdict, number>> = {live: 0, suspected: 1, dead: 2};

/** Largest number of members in one answer to a join; the rest follows by rumours. */
export const maxMembersInJoinAnswer = 256;

export class Membership {
	private readonly _members = new Map<VmIdentity, Member>();
	private _own: MemberRecord;
	private _revision = 0;
	private _live: {readonly revision: number; readonly members: readonly Member[]} = {revision: -1, members: []};

	constructor(
		private readonly _context: FleetContext,
		private readonly _send: (to: PeerAddress, body: PeerBody) => void,
	) {
		const {settings} = _context;
		this._own = {
			identity: settings.identity,
			peerAddress: settings.peerAddress,
			callAddress: settings.callAddress,
			dataCentre: settings.dataCentre,
			sequence: 1,
			isLeaving: false,
			isServing: false,
			holdsShare: false,
			configurationVersion: 0,
			utilisation: 0,
		};
	}

	get own(): MemberRecord {
		return this._own;
	}

	/** All known VMs but this one. */
	get members(): ReadonlyMap<VmIdentity, Member> {
		return this._members;
	}

	/** Members that answer, leaving ones included. */
	get live(): readonly Member[] {
		if (this._live.revision !== this._revision) {
			this._live = {revision: this._revision, members: [...this._members.values()].filter(({verdict}) => verdict === 'live')};
		}

		return this._live.members;
	}

	/** Grows whenever a member comes, goes, is judged anew or says something new; not with utilisation alone. */
	get revision(): number {
		return this._revision;
	}

	/** True if other VMs are known to exist that have not left in the planned way. */
	get hasOthers(): boolean {
		return [...this._members.values()].some(({record}) => !record.isLeaving);
	}

	/** Changes what this VM says of itself. Utilisation alone rides on messages and is no rumour. */
	updateOwn(change: Partial<MemberRecord>): void {
		const changed = {...this._own, ...change};
		const isNew = changed.isLeaving !== this._own.isLeaving || changed.isServing !== this._own.isServing
			|| changed.holdsShare !== this._own.holdsShare || changed.configurationVersion !== this._own.configurationVersion;
		this._own = isNew ? {...changed, sequence: this._own.sequence + 1} : changed;
	}

	/** Any message is a sign of life of its sender. */
	handleSender(record: MemberRecord): void {
		if (record.identity === this._own.identity) {
			return;
		}

		this._markPreviousProcessDead(record);
		const known = this._members.get(record.identity);
		if (!known) {
			this._add(record, 'live');
			return;
		}

		if (record.sequence < known.record.sequence) {
			return;
		}

		const hasAdverseVerdict = known.verdict !== 'live' && record.sequence === known.record.sequence;
		const isNew = record.sequence > known.record.sequence || known.verdict !== 'live';
		known.record = record;
		known.lastMessageAt = this._context.now;
		if (hasAdverseVerdict) {
			// It lives, but others were told otherwise. Told so, it raises its sequence, which refutes it everywhere.
			this._send(record.peerAddress, {type: 'rumours'});
		}

		if (isNew) {
			this._setVerdict(known, 'live');
		}
	}

	/** Rumours that came with a message. */
	mergeUpdates(updates: readonly MemberUpdate[]): void {
		for (const update of updates) {
			this._mergeUpdate(update);
		}
	}

	/** An unanswered probe: the member is suspected, and gets time to refute. */
	suspect(identity: VmIdentity): void {
		const member = this._members.get(identity);
		if (member?.verdict === 'live') {
			this._setVerdict(member, 'suspected');
		}
	}

	/** Starts the time to refute anew for all that are suspected. */
	restartSuspicionTimeouts(): void {
		for (const member of this._members.values()) {
			if (member.verdict === 'suspected') {
				member.verdictChangedAt = this._context.now;
			}
		}
	}

	/** Rumours worth sending, the least sent first, at most `characters` long in JSON. */
	nextRumours(characters: number): MemberUpdate[] {
		const limit = this._maxSends();
		const pending = [...this._members.values()].filter(({sendCount}) => sendCount < limit).toSorted((a, b) => a.sendCount - b.sendCount);
		const updates: MemberUpdate[] = [];
		let remainingCharacters = characters;
		for (const member of pending) {
			const update = {record: member.record, verdict: member.verdict};
			remainingCharacters -= JSON.stringify(update).length;
			if (remainingCharacters < 0) {
				break;
			}

			member.sendCount += 1;
			updates.push(update);
		}

		return updates;
	}

	/** Everybody known, for a VM that joins. */
	allUpdates(): MemberUpdate[] {
		return [...this._members.values()].filter(({verdict}) => verdict !== 'dead').slice(0, maxMembersInJoinAnswer).map(({record, verdict}) => ({record, verdict}));
	}

	/** The verdict against the member at an address, which it should hear itself. */
	verdictsAgainst(address: PeerAddress): MemberUpdate[] {
		return [...this._members.values()]
			.filter(({record, verdict}) => record.peerAddress === address && verdict !== 'live')
			.map(({record, verdict}) => ({record, verdict}));
	}

	/** A rumour reaches all of n members with high probability after a multiple of log2(n) sends by each. */
	private _maxSends(): number {
		return 2 * Math.ceil(Math.log2(this._members.size + 2));
	}

	private _mergeUpdate({record, verdict}: MemberUpdate): void {
		if (record.identity === this._own.identity) {
			this._refute(record, verdict);
			return;
		}

		const known = this._members.get(record.identity);
		if (!known) {
			if (verdict !== 'dead') {
				this._add(record, verdict);
			}

			return;
		}

		const isNewer = record.sequence > known.record.sequence;
		const isMoreSevere = record.sequence === known.record.sequence && verdictSeverity[verdict] > verdictSeverity[known.verdict];
		if (isNewer) {
			known.record = record;
		}

		if (isNewer || isMoreSevere) {
			this._setVerdict(known, verdict);
		}
	}

	/** Guard against a false verdict on this very VM: a higher sequence is its word that it lives. */
	private _refute(record: MemberRecord, verdict: Verdict): void {
		if (verdict !== 'live' && record.sequence >= this._own.sequence) {
			this._own = {...this._own, sequence: record.sequence + 1};
			this._context.log('warn', 'Others took this VM for unreachable', {verdict});
			for (const member of this._context.pick(this.live, refutationTargets)) {
				this._send(member.record.peerAddress, {type: 'rumours'});
			}
		}
	}

	/** A new process under a member's address: the former one has ended. */
	private _markPreviousProcessDead(record: MemberRecord): void {
		for (const member of this._members.values()) {
			if (member.record.peerAddress === record.peerAddress && member.record.identity !== record.identity && member.verdict !== 'dead') {
				this._setVerdict(member, 'dead');
			}
		}
	}

	private _add(record: MemberRecord, verdict: Verdict): void {
		const {now} = this._context;
		const member: Member = {
			record, verdict, lastMessageAt: now, verdictChangedAt: now, sendCount: 0,
		};
		this._members.set(record.identity, member);
		this._revision += 1;
		this._scheduleVerdictExpiry(member);
	}

	private _setVerdict(member: Member, verdict: Verdict): void {
		if (member.verdict !== verdict) {
			this._context.log(verdict === 'live' ? 'info' : 'warn', 'A member changed state', {member: member.record.identity, address: member.record.peerAddress, verdict});
		}

		this._revision += 1;
		member.verdict = verdict;
		member.verdictChangedAt = this._context.now;
		member.sendCount = 0;
		this._scheduleVerdictExpiry(member);
	}

	private _scheduleVerdictExpiry(member: Member): void {
		const {identity} = member.record;
		const name = `member-${identity}`;
		this._context.timers.clear(name);
		if (member.verdict === 'live') {
			return;
		}

		const wait = member.verdict === 'suspected' ? suspicionTimeoutMilliseconds : deadMemberRetentionMilliseconds;
		this._context.timers.set(name, member.verdictChangedAt + wait, () => {
			if (member.verdict === 'dead') {
				this._members.delete(identity);
				this._revision += 1;
			} else if (this._context.now < member.verdictChangedAt + suspicionTimeoutMilliseconds) {
				this._scheduleVerdictExpiry(member);
			} else {
				this._setVerdict(member, 'dead');
			}
		});
	}
}
