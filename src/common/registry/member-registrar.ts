/** Registers the VMs that follow this one in the store, and this VM itself while it reads the store. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {type StoreReply, type StoreWrite} from '../platform/types.ts';
import {isLater, type StorePosition} from '../platform/store-position.ts';
import {type Member} from './member.ts';
import {MemberCheck, turnGraceMilliseconds} from './member-check.ts';
import {type RegistryContext} from './registry-context.ts';
import {type MemberAnnouncement} from './types.ts';
import {type VmProber} from './vm-prober.ts';

/** Limit of one transaction, with conditions and writes counted separately: each write here has one condition. */
const maxTransactionEntries = 32;
const maxTransactionWrites = maxTransactionEntries / 2;

/**
 * Time for which writes are collected. The VMs of a starting fleet announce themselves within a third of a second; one
 * store call then covers some dozens of VMs instead of two calls per VM.
 */
const batchMilliseconds: Milliseconds = 100;

/** Renewals per term of the lease. One may fail without the lease ending; each is a paid call. */
const renewalsPerTerm = 2.5;

/** Pause before a failed request is retried. */
const retryMilliseconds: Milliseconds = 700;

/** Pause before a failed renewal is retried; several retries fit into the rest of the term. */
const renewalRetryMilliseconds: Milliseconds = 300;

/** Grace period after a member's stream closes without an announcement; covers a reconnect. */
const reconnectGraceMilliseconds: Milliseconds = 1000;

/** Callbacks of the registrar. */
export type MemberRegistrarListener = {
	/** Whether this VM reads the store itself. */
	isReading(): boolean;
	/**
	 * Whether the store is available as far as this VM knows. A request to an unresponsive store would delay later
	 * writes.
	 */
	isStoreAvailable(): boolean;
	/** Address for other VMs in a serialised VM entry; undefined = the entry is invalid. */
	peerAddressOf(value: string): PeerAddress | undefined;
	/** Last known revision of a key; undefined = no such key. */
	revisionOf(key: string): StorePosition | undefined;
	/** The store has applied these writes with this revision. */
	onWritten(writes: readonly StoreWrite[], revision: StorePosition): void;
};

/**
 * Registers this VM's members, that is, the VMs that follow it. Their entries are kept under one lease, with few
 * transactions, since each store call is paid for. The failures that are handled are listed in docs/design/platform.md.
 */
export class MemberRegistrar {
	private readonly _context: RegistryContext;
	private readonly _check: MemberCheck;
	private readonly _listener: MemberRegistrarListener;
	private readonly _members = new Map<string, Member>();
	private _leaseId: string | undefined;
	private _isRequestPending = false;

	constructor(context: RegistryContext, prober: VmProber, listener: MemberRegistrarListener) {
		this._context = context;
		this._listener = listener;
		this._check = new MemberCheck(context, prober, {
			members: this._members,
			peerAddressOf: value => listener.peerAddressOf(value),
			isOwnWrite: member => this._isOwnWrite(member, this._knownRevisionOf(member)),
			removeLost: member => {
				this._removeLost(member);
			},
		});
	}

	/** Whether other VMs are registered here. */
	get hasMembers(): boolean {
		const {identity} = this._context.settings;
		return [...this._members.values()].some(member => member.identity !== identity && (member.state === 'wanted' || member.state === 'kept'));
	}

	/** Handles a heartbeat, a switch to another registrar, or a leave. */
	handleAnnouncement({identity, value, intent}: MemberAnnouncement): void {
		if (intent === 'leave') {
			this.deregister(identity);
			return;
		}

		if (intent === 'turn') {
			this._startGracePeriod(identity, turnGraceMilliseconds);
			return;
		}

		const {now} = this._context;
		const member = this._members.get(identity) ?? {
			identity, value, state: 'wanted', previousRevision: 0, writtenRevision: undefined, expectedRevision: undefined,
			lastSeenAt: now, graceEndsAt: now, hasAnnouncedLeave: false, isProbePending: false,
		};
		this._members.set(identity, member);
		member.lastSeenAt = now;
		const isUpToDate = member.value === value && this._isOwnWrite(member, this._knownRevisionOf(member));
		member.value = value;
		if (isUpToDate) {
			member.state = 'kept';
		} else {
			member.state = 'wanted';
			this._scheduleFlush(batchMilliseconds);
		}

		this._check.schedule();
	}

	/** Called when the stream of a member has closed. */
	onStreamClosed(identity: string): void {
		this._startGracePeriod(identity, reconnectGraceMilliseconds);
	}

	/** Removes the entry of a VM at once, so that callers no longer use it. */
	deregister(identity: string): void {
		const member = this._members.get(identity);
		if (member === undefined) {
			return;
		}

		member.hasAnnouncedLeave = true;
		member.state = 'leaving';
		this._flush();
	}

	/** Drops the member without removing its entry, since another VM registers it from now on. */
	forget(identity: string): void {
		this._members.delete(identity);
	}

	/**
	 * Handles a key deleted from the store. The entry of a member is written again if its lease has ended or was
	 * revoked while this VM lives; otherwise VMs that serve would receive no callers.
	 */
	onRemoved(key: string): void {
		const member = this._members.get(this._identityOf(key));
		if (member?.state === 'kept') {
			this._context.log('warn', 'entry of a registered VM was removed from the store; it is written again', {member: member.identity});
			member.state = 'wanted';
			member.writtenRevision = undefined;
			member.expectedRevision = 0;
			this._scheduleFlush(batchMilliseconds);
		}
	}

	/**
	 * The store was restored from a backup: it may lack entries and the lease of this VM, or have granted a lease with
	 * the same identifier to another VM. All entries are written again under a new lease.
	 */
	onRestored(): void {
		this._leaseId = undefined;
		this._context.timers.clear('members-lease');
		for (const member of this._members.values()) {
			member.expectedRevision = undefined;
		}

		this._rewriteAll();
	}

	/** Writes pending changes, now that the store has replied. */
	onRead(): void {
		if (this._pendingMembers().length > 0) {
			this._scheduleFlush(batchMilliseconds);
		}
	}

	private _startGracePeriod(identity: string, grace: Milliseconds): void {
		const member = this._members.get(identity);
		if (member === undefined || member.state === 'leaving' || member.state === 'turning') {
			return;
		}

		member.state = 'turning';
		member.graceEndsAt = this._context.now + grace;
		this._check.schedule();
	}

	private _keyOf(identity: string): string {
		return this._context.settings.layout.vmPrefix + identity;
	}

	private _identityOf(key: string): string {
		return key.slice(this._context.settings.layout.vmPrefix.length);
	}

	private _scheduleFlush(pause: Milliseconds): void {
		const at = this._context.now + pause;
		if (pause === 0 || !this._context.timers.has('members-flush')) {
			this._context.timers.set('members-flush', at, () => {
				this._flush();
			});
		}
	}

	/**
	 * Writes pending entries, one transaction at a time. While this VM follows another one, only removals are pending.
	 */
	private _flush(): void {
		if (this._isRequestPending || !this._listener.isStoreAvailable()) {
			return;
		}

		this._dropUnwritten();
		const pending = this._pendingMembers().slice(0, maxTransactionWrites);
		if (pending.length === 0) {
			return;
		}

		const leaseId = this._leaseId;
		if (leaseId === undefined && pending.some(({state}) => state === 'wanted')) {
			this._requestLease();
			return;
		}

		const writes: StoreWrite[] = pending.map(member => ({
			key: this._keyOf(member.identity),
			expected: this._expectedRevisionOf(member),
			value: member.state === 'wanted' ? member.value : undefined,
		}));
		this._isRequestPending = true;
		this._context.request({type: 'write-all', writes, leaseId: leaseId ?? ''}, reply => {
			this._isRequestPending = false;
			// The lease may have been given up while the write was in progress: the entries are then written again.
			this._handleWriteReply(leaseId === this._leaseId ? reply : {type: 'unknown'}, pending, writes);
		});
	}

	/** Drops members that leave before they have an entry. */
	private _dropUnwritten(): void {
		for (const member of this._members.values()) {
			if (member.state === 'leaving' && this._expectedRevisionOf(member) === 0) {
				this._members.delete(member.identity);
			}
		}
	}

	/** Removals are also written while this VM follows another one, so that callers leave the VM without delay. */
	private _pendingMembers(): Member[] {
		const isReading = this._listener.isReading();
		return [...this._members.values()].filter(({state}) => state === 'leaving' || (state === 'wanted' && isReading));
	}

	private _expectedRevisionOf({identity, expectedRevision, writtenRevision}: Member): StorePosition {
		return expectedRevision ?? this._listener.revisionOf(this._keyOf(identity)) ?? writtenRevision ?? 0;
	}

	/** Last known revision of the member's entry. */
	private _knownRevisionOf({identity}: Member): StorePosition | undefined {
		return this._listener.revisionOf(this._keyOf(identity));
	}

	private _isOwnWrite({previousRevision, writtenRevision}: Member, revision: StorePosition | undefined): boolean {
		return writtenRevision !== undefined && revision !== undefined && isLater(revision, previousRevision) && !isLater(revision, writtenRevision);
	}

	private _handleWriteReply(reply: StoreReply, pending: readonly Member[], writes: readonly StoreWrite[]): void {
		switch (reply.type) {
			case 'written': {
				this._applyWritten(pending, writes, reply.revision);
				this._scheduleFlush(0);
				break;
			}

			case 'not-all-as-expected': {
				this._handleConflict(pending, writes, reply.revisions);
				this._scheduleFlush(0);
				break;
			}

			case 'lease-lost': {
				this._handleLeaseLost();
				break;
			}

			default: {
				// The outcome is unknown: the retry expects the revision that the store reports by then.
				this._scheduleFlush(retryMilliseconds);
			}
		}
	}

	private _applyWritten(pending: readonly Member[], writes: readonly StoreWrite[], revision: StorePosition): void {
		for (const [index, member] of pending.entries()) {
			const {expected, value} = writes[index]!;
			if (value === undefined) {
				this._members.delete(member.identity);
				continue;
			}

			member.previousRevision = expected;
			member.writtenRevision = revision;
			member.expectedRevision = undefined;
			// The member may have announced a leave or a turn while the write was in progress.
			if (member.state === 'wanted') {
				member.state = 'kept';
			}
		}

		this._listener.onWritten(writes, revision);
	}

	/**
	 * Adopts the revisions found in the store for the next try. The removal of an entry that another VM has written
	 * since is cancelled, unless the member itself announced that it leaves.
	 */
	private _handleConflict(pending: readonly Member[], writes: readonly StoreWrite[], revisions: ReadonlyMap<string, StorePosition>): void {
		for (const [index, member] of pending.entries()) {
			const {key, expected} = writes[index]!;
			const foundRevision = revisions.get(key) ?? 0;
			if (member.state === 'leaving' && foundRevision !== expected && !member.hasAnnouncedLeave) {
				this._members.delete(member.identity);
			} else if (foundRevision !== expected) {
				member.expectedRevision = foundRevision;
			}
		}
	}

	private _requestLease(): void {
		this._isRequestPending = true;
		this._context.request({type: 'grant-lease', milliseconds: this._context.settings.leaseMilliseconds}, reply => {
			this._isRequestPending = false;
			if (reply.type !== 'lease') {
				this._scheduleFlush(retryMilliseconds);
				return;
			}

			this._leaseId = reply.leaseId;
			this._scheduleRenewal();
			this._flush();
		});
	}

	private _scheduleRenewal(pause: Milliseconds = this._context.settings.leaseMilliseconds / renewalsPerTerm): void {
		this._context.timers.set('members-lease', this._context.now + pause, () => {
			this._renewLease();
		});
	}

	/** A lease without members, or only with members that leave, is not renewed. */
	private _renewLease(): void {
		const leaseId = this._leaseId;
		if (leaseId === undefined || [...this._members.values()].every(({state}) => state === 'leaving')) {
			this._leaseId = undefined;
			return;
		}

		this._context.request({type: 'keep-lease', leaseId}, reply => {
			if (this._leaseId !== leaseId) {
				return;
			}

			if (reply.type === 'lease-lost') {
				this._handleLeaseLost();
			} else {
				this._scheduleRenewal(reply.type === 'lease' ? undefined : renewalRetryMilliseconds);
			}
		});
	}

	/** Writes all members again under a new lease, for instance when the lease ended during a store outage. */
	private _handleLeaseLost(): void {
		this._leaseId = undefined;
		this._context.log('warn', 'lease on VM entries has ended; the entries are written again', {vms: this._members.size});
		this._rewriteAll();
	}

	private _rewriteAll(): void {
		for (const member of this._members.values()) {
			// The entries are gone from the store, even if other VMs still publish them.
			member.writtenRevision = undefined;
			if (member.state === 'kept') {
				member.state = 'wanted';
			}
		}

		this._scheduleFlush(batchMilliseconds);
	}

	/**
	 * Removes the entry of a lost member if this VM wrote it last. A VM that has switched to another registrar is kept,
	 * so that a former registrar cannot remove it.
	 */
	private _removeLost(member: Member): void {
		if (!this._isOwnWrite(member, this._knownRevisionOf(member))) {
			this._members.delete(member.identity);
			return;
		}

		member.state = 'leaving';
		this._flush();
	}
}
