/** Registers the VMs that follow this one in the store, and this VM itself while it reads the store. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {type Revision, type StoreReply, type StoreWrite} from '../platform/types.ts';
import {type Member} from './member.ts';
import {MemberCheck, turningMilliseconds} from './member-check.ts';
import {type RegistryContext} from './registry-context.ts';
import {type MemberAnnouncement} from './types.ts';
import {type VmProber} from './vm-prober.ts';

/** Most entries that one transaction holds, conditions and writes counted apart: each write here comes with its condition. */
const mostEntriesOfTransaction = 32;
const mostWrites = mostEntriesOfTransaction / 2;

/**
 * Time for which writes are gathered. A fleet that starts announces itself within a third of a second: gathered, the store
 * gets a call for some dozens of VMs in place of two for each.
 */
const gatherMilliseconds: Milliseconds = 100;

/** Renewals in one term of the lease: one may be lost before it lapses, and each is a call that is paid for. */
const renewalsATerm = 2.5;

/** Pause before a step that failed is tried again. */
const retryMilliseconds: Milliseconds = 700;

/** Pause before a renewal that failed is tried again: several fit into the rest of the term. */
const renewalRetryMilliseconds: Milliseconds = 300;

/** Grace period after a member's stream closes without an announcement; covers a reconnect. */
const endedMilliseconds: Milliseconds = 1000;

/** What the registrar asks and tells its surroundings. */
export type MemberRegistrarListener = {
	/** This VM reads the store itself. */
	isReading(): boolean;
	/** The store answers, as far as this VM knows: what is sent into its silence keeps later writes waiting. */
	isStoreThere(): boolean;
	/** Where other VMs reach the one with this entry; undefined = the entry cannot be read. */
	peerAddressOf(value: string): PeerAddress | undefined;
	/** Revision of a key, as this VM knows the store; undefined = there is no such key. */
	revisionOf(key: string): Revision | undefined;
	/** The store has taken these writes, which came to this revision. */
	onWritten(writes: readonly StoreWrite[], revision: Revision): void;
};

/**
 * One lease and a few transactions hold the entries of all VMs that follow this one, since each call to the store is paid
 * for. Which failures are met, and how, stands in docs/design/platform.md.
 */
export class MemberRegistrar {
	private readonly _context: RegistryContext;
	private readonly _check: MemberCheck;
	private readonly _listener: MemberRegistrarListener;
	private readonly _members = new Map<string, Member>();
	private _leaseId: string | undefined;
	private _isAsking = false;

	constructor(context: RegistryContext, prober: VmProber, listener: MemberRegistrarListener) {
		this._context = context;
		this._listener = listener;
		this._check = new MemberCheck(context, prober, {
			members: this._members,
			peerAddressOf: value => listener.peerAddressOf(value),
			isOwnWrite: member => this._isOwnWrite(member, this._standing(member)),
			drop: member => {
				this._drop(member);
			},
		});
	}

	/** Other VMs have their entries kept here. */
	get hasMembers(): boolean {
		const {identity} = this._context.settings;
		return [...this._members.values()].some(member => member.identity !== identity && (member.state === 'wanted' || member.state === 'kept'));
	}

	/** A VM says who it is, or that it leaves. */
	take({identity, value, intent}: MemberAnnouncement): void {
		if (intent === 'leave') {
			this.release(identity);
			return;
		}

		if (intent === 'turn') {
			this._end(identity, turningMilliseconds);
			return;
		}

		const {now} = this._context;
		const member = this._members.get(identity) ?? {
			identity, value, state: 'wanted', before: 0, written: undefined, expected: undefined, lastSeenAt: now, endsAt: now, hasSaidSo: false, isProbed: false,
		};
		this._members.set(identity, member);
		member.lastSeenAt = now;
		const stands = member.value === value && this._isOwnWrite(member, this._standing(member));
		member.value = value;
		if (stands) {
			member.state = 'kept';
		} else {
			member.state = 'wanted';
			this._planFlush(gatherMilliseconds);
		}

		this._check.plan();
	}

	/** The stream of a VM has ended. */
	noteEnded(identity: string): void {
		this._end(identity, endedMilliseconds);
	}

	/** The entry of this VM is to be removed at once: callers must not be sent there any more. */
	release(identity: string): void {
		const member = this._members.get(identity);
		if (member === undefined) {
			return;
		}

		member.hasSaidSo = true;
		member.state = 'leaving';
		this._flush();
	}

	/** Another VM keeps the entry from now on: nothing is removed. */
	forget(identity: string): void {
		this._members.delete(identity);
	}

	/**
	 * The store says that a key is gone. Guards members against a lease that lapses or is taken away under a living holder:
	 * it shows as VMs that serve and get no callers.
	 */
	onRemoved(key: string): void {
		const member = this._members.get(this._identityOf(key));
		if (member?.state === 'kept') {
			this._context.log('warn', 'the entry of a VM that is kept here was removed; it is written again', {member: member.identity});
			member.state = 'wanted';
			member.written = undefined;
			member.expected = 0;
			this._planFlush(gatherMilliseconds);
		}
	}

	/** The store has answered: what waited for that is written. */
	onRead(): void {
		if (this._due().length > 0) {
			this._planFlush(gatherMilliseconds);
		}
	}

	private _end(identity: string, patience: Milliseconds): void {
		const member = this._members.get(identity);
		if (member === undefined || member.state === 'leaving' || member.state === 'turning') {
			return;
		}

		member.state = 'turning';
		member.endsAt = this._context.now + patience;
		this._check.plan();
	}

	private _keyOf(identity: string): string {
		return this._context.settings.layout.vmPrefix + identity;
	}

	private _identityOf(key: string): string {
		return key.slice(this._context.settings.layout.vmPrefix.length);
	}

	private _planFlush(pause: Milliseconds): void {
		const at = this._context.now + pause;
		if (pause === 0 || !this._context.timers.has('members-flush')) {
			this._context.timers.set('members-flush', at, () => {
				this._flush();
			});
		}
	}

	/** Writes what waits, one transaction after the other. A VM that is told itself leaves it until it reads. */
	private _flush(): void {
		if (this._isAsking || !this._listener.isStoreThere()) {
			return;
		}

		this._dropUnwritten();
		const due = this._due().slice(0, mostWrites);
		if (due.length === 0) {
			return;
		}

		const leaseId = this._leaseId;
		if (leaseId === undefined && due.some(({state}) => state === 'wanted')) {
			this._grant();
			return;
		}

		const writes: StoreWrite[] = due.map(member => ({
			key: this._keyOf(member.identity),
			expected: this._expectedOf(member),
			value: member.state === 'wanted' ? member.value : undefined,
		}));
		this._isAsking = true;
		this._context.ask({type: 'write-all', writes, leaseId: leaseId ?? ''}, reply => {
			this._isAsking = false;
			this._takeWritten(reply, due, writes);
		});
	}

	/** Members that leave and have no entry. */
	private _dropUnwritten(): void {
		for (const member of this._members.values()) {
			if (member.state === 'leaving' && this._expectedOf(member) === 0) {
				this._members.delete(member.identity);
			}
		}
	}

	/** Removals go out also while this VM follows another one: callers must not wait for that to change. */
	private _due(): Member[] {
		const isReading = this._listener.isReading();
		return [...this._members.values()].filter(({state}) => state === 'leaving' || (state === 'wanted' && isReading));
	}

	private _expectedOf({identity, expected, written}: Member): Revision {
		return expected ?? this._listener.revisionOf(this._keyOf(identity)) ?? written ?? 0;
	}

	/** Revision of the entry as this VM knows the store. */
	private _standing({identity}: Member): Revision | undefined {
		return this._listener.revisionOf(this._keyOf(identity));
	}

	private _isOwnWrite({before, written}: Member, revision: Revision | undefined): boolean {
		return written !== undefined && revision !== undefined && revision > before && revision <= written;
	}

	private _takeWritten(reply: StoreReply, due: readonly Member[], writes: readonly StoreWrite[]): void {
		switch (reply.type) {
			case 'written': {
				this._settle(due, writes, reply.revision);
				this._planFlush(0);
				break;
			}

			case 'not-all-as-expected': {
				this._takeConflict(due, writes, reply.revisions);
				this._planFlush(0);
				break;
			}

			case 'lease-lost': {
				this._loseLease();
				break;
			}

			default: {
				// Whether it took effect is not known: the next try expects what the store says then.
				this._planFlush(retryMilliseconds);
			}
		}
	}

	private _settle(due: readonly Member[], writes: readonly StoreWrite[], revision: Revision): void {
		for (const [index, member] of due.entries()) {
			const {expected, value} = writes[index]!;
			if (value === undefined) {
				this._members.delete(member.identity);
				continue;
			}

			member.before = expected;
			member.written = revision;
			member.expected = undefined;
			// It may have begun to leave, or to turn, while the write was under way.
			if (member.state === 'wanted') {
				member.state = 'kept';
			}
		}

		this._listener.onWritten(writes, revision);
	}

	/** What is to be removed and was written by another VM meanwhile belongs to that one. */
	private _takeConflict(due: readonly Member[], writes: readonly StoreWrite[], revisions: ReadonlyMap<string, Revision>): void {
		for (const [index, member] of due.entries()) {
			const {key, expected} = writes[index]!;
			const found = revisions.get(key) ?? 0;
			if (member.state === 'leaving' && found !== expected && !member.hasSaidSo) {
				this._members.delete(member.identity);
			} else if (found !== expected) {
				member.expected = found;
			}
		}
	}

	private _grant(): void {
		this._isAsking = true;
		this._context.ask({type: 'grant-lease', milliseconds: this._context.settings.leaseMilliseconds}, reply => {
			this._isAsking = false;
			if (reply.type !== 'lease') {
				this._planFlush(retryMilliseconds);
				return;
			}

			this._leaseId = reply.leaseId;
			this._planRenewal();
			this._flush();
		});
	}

	private _planRenewal(pause: Milliseconds = this._context.settings.leaseMilliseconds / renewalsATerm): void {
		this._context.timers.set('members-lease', this._context.now + pause, () => {
			this._renew();
		});
	}

	/** A lease that holds nothing, or only what is to go, is left to lapse. */
	private _renew(): void {
		const leaseId = this._leaseId;
		if (leaseId === undefined || [...this._members.values()].every(({state}) => state === 'leaving')) {
			this._leaseId = undefined;
			return;
		}

		this._context.ask({type: 'keep-lease', leaseId}, reply => {
			if (this._leaseId !== leaseId) {
				return;
			}

			if (reply.type === 'lease-lost') {
				this._loseLease();
			} else {
				this._planRenewal(reply.type === 'lease' ? undefined : renewalRetryMilliseconds);
			}
		});
	}

	/** Guards members whose lease lapsed while the store was away: all are written again under a new one. */
	private _loseLease(): void {
		this._leaseId = undefined;
		this._context.log('warn', 'the lease on the entries of VMs has lapsed; they are written again', {vms: this._members.size});
		for (const member of this._members.values()) {
			// What was written under the lease is gone with it, whatever others still tell.
			member.written = undefined;
			if (member.state === 'kept') {
				member.state = 'wanted';
			}
		}

		this._planFlush(gatherMilliseconds);
	}

	/**
	 * A VM is taken for gone, by its silence alone: its entry is removed if this VM wrote it last. Guards one that lives and
	 * has turned to another VM against removal by all that kept it before.
	 */
	private _drop(member: Member): void {
		if (!this._isOwnWrite(member, this._standing(member))) {
			this._members.delete(member.identity);
			return;
		}

		member.state = 'leaving';
		this._flush();
	}
}
