/**
 * Membership of the fleet by SWIM (Das, Gupta, Motivala 2002). Each VM alone increments the sequence of its own record;
 * other VMs attach verdicts to that record; both spread as rumours, each sent a bounded number of times. The member list
 * is only an estimate: no correctness guarantee may depend on it.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type MemberRecord, type MemberUpdate, type PeerBody} from '../peer-messages.ts';
import {type PeerAddress, type VmIdentity} from '../types.ts';

/** A suspected member is declared dead after this time, in which a live VM can receive the suspicion and refute it. */
const suspicionTimeoutMilliseconds: Milliseconds = 3000;

/** Dead members are kept for this time, so that a late rumour about one is not mistaken for a new member. */
const deadMemberRetentionMilliseconds: Milliseconds = 600_000;

/** Number of members notified at once when this VM refutes a verdict on itself. */
const refutationTargets = 3;

export type Verdict = MemberUpdate['verdict'];

/** Another VM as recorded by this VM. */
export type Member = {
	record: MemberRecord;
	verdict: Verdict;
	/** When this VM last received a message from the member, or else added it. */
	lastMessageAt: Instant;
	/** When the verdict was last set. */
	verdictChangedAt: Instant;
	/** How often the latest rumour about the member was sent; it is sent until this count reaches the limit. */
	sendCount: number;
};

const verdictSeverity: Readonly<Record<Verdict, number>> = {live: 0, suspected: 1, dead: 2};

/** Maximum number of members in one answer to a join; the others follow as rumours. */
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

	/** All known VMs except this one. */
	get members(): ReadonlyMap<VmIdentity, Member> {
		return this._members;
	}

	/** Members with the verdict `live`, including those that are leaving. */
	get live(): readonly Member[] {
		if (this._live.revision !== this._revision) {
			this._live = {revision: this._revision, members: [...this._members.values()].filter(({verdict}) => verdict === 'live')};
		}

		return this._live.members;
	}

	/** Increases whenever a member is added or removed, or its verdict or record changes. A change of utilisation alone does not count. */
	get revision(): number {
		return this._revision;
	}

	/** True if another VM is known that has not announced a planned stop. */
	get hasOthers(): boolean {
		return [...this._members.values()].some(({record}) => !record.isLeaving);
	}

	/** Updates this VM's own record. A change of utilisation alone is sent with the next messages, but is not spread as a rumour. */
	updateOwn(change: Partial<MemberRecord>): void {
		const changed = {...this._own, ...change};
		const isNew = changed.isLeaving !== this._own.isLeaving || changed.isServing !== this._own.isServing
			|| changed.holdsShare !== this._own.holdsShare || changed.configurationVersion !== this._own.configurationVersion;
		this._own = isNew ? {...changed, sequence: this._own.sequence + 1} : changed;
	}

	/** Records the sender of any message as live. */
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
			// The member is alive, but a rumour says otherwise. On receiving that verdict it raises its sequence, which refutes the verdict on all VMs.
			this._send(record.peerAddress, {type: 'rumours'});
		}

		if (isNew) {
			this._setVerdict(known, 'live');
		}
	}

	/** Merges the rumours that came with a message. */
	mergeUpdates(updates: readonly MemberUpdate[]): void {
		for (const update of updates) {
			this._mergeUpdate(update);
		}
	}

	/** Marks a live member as suspected after an unanswered probe; it is declared dead unless it refutes the suspicion in time. */
	suspect(identity: VmIdentity): void {
		const member = this._members.get(identity);
		if (member?.verdict === 'live') {
			this._setVerdict(member, 'suspected');
		}
	}

	/** Restarts the suspicion timeout of every suspected member. */
	restartSuspicionTimeouts(): void {
		for (const member of this._members.values()) {
			if (member.verdict === 'suspected') {
				member.verdictChangedAt = this._context.now;
			}
		}
	}

	/** Rumours below the send limit, the least sent first, at most `characters` long in JSON. Counts them as sent. */
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

	/** All members that are not dead, up to the limit, for a VM that joins. */
	allUpdates(): MemberUpdate[] {
		return [...this._members.values()].filter(({verdict}) => verdict !== 'dead').slice(0, maxMembersInJoinAnswer).map(({record, verdict}) => ({record, verdict}));
	}

	/** Verdicts other than `live` on members at an address. They are sent to that member, which can refute them. */
	verdictsAgainst(address: PeerAddress): MemberUpdate[] {
		return [...this._members.values()]
			.filter(({record, verdict}) => record.peerAddress === address && verdict !== 'live')
			.map(({record, verdict}) => ({record, verdict}));
	}

	/** Sends per rumour: it reaches all of n members with high probability if each sends it a multiple of log2(n) times. */
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

	/** Guards against a false verdict on this VM: a record with a higher sequence overrides the verdict on all VMs. */
	private _refute(record: MemberRecord, verdict: Verdict): void {
		if (verdict !== 'live' && record.sequence >= this._own.sequence) {
			this._own = {...this._own, sequence: record.sequence + 1};
			this._context.log('warn', 'another VM reported this VM as unreachable; the verdict is refuted', {verdict});
			for (const member of this._context.pickRandom(this.live, refutationTargets)) {
				this._send(member.record.peerAddress, {type: 'rumours'});
			}
		}
	}

	/** A new process under a member's address shows that the previous process has ended. */
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
			this._context.log(verdict === 'live' ? 'info' : 'warn', 'the state of a member changed', {member: member.record.identity, address: member.record.peerAddress, verdict});
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
