/** Finds members that are silent or have not reconnected, and probes them before their entries are removed. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Member} from './member.ts';
import {type RegistryContext} from './registry-context.ts';
import {silentHeartbeats} from './vm-loss-budget.ts';
import {type VmProber} from './vm-prober.ts';

/**
 * Grace period of a member that has announced that it turns to another registrar, which writes its entry anew. It is extended
 * for as long as the member responds to probes, since the other registrar may not be able to write yet.
 */
export const turnGraceMilliseconds: Milliseconds = 2000;

/** Shortest pause between two checks. */
const minCheckMilliseconds: Milliseconds = 100;

/** A check that runs this late shows that the process was paused; announcements may still be unread. */
const pauseDetectionMilliseconds: Milliseconds = 1000;

/** State and callbacks of the registrar that the check uses. */
export type MemberCheckOptions = {
	readonly members: ReadonlyMap<string, Member>;
	/** Address for other VMs in a serialised VM entry; undefined = the entry is invalid. */
	readonly peerAddressOf: (value: string) => PeerAddress | undefined;
	/** Whether this VM wrote the entry that is in the store. */
	readonly isOwnWrite: (member: Member) => boolean;
	/** Removes the entry of a lost member, if this VM wrote it last. */
	readonly removeLost: (member: Member) => void;
};

export class MemberCheck {
	private readonly _context: RegistryContext;
	private readonly _prober: VmProber;
	private readonly _options: MemberCheckOptions;
	private _nextAt: Instant = 0;

	constructor(context: RegistryContext, prober: VmProber, options: MemberCheckOptions) {
		this._context = context;
		this._prober = prober;
		this._options = options;
	}

	/** Schedules the next check; called when members have changed or have been seen. */
	schedule(): void {
		const due = Math.min(...Array.from(this._options.members.values(), member => this._dueAt(member)));
		if (due === Number.POSITIVE_INFINITY) {
			return;
		}

		this._nextAt = Math.max(due, this._context.now + minCheckMilliseconds);
		this._context.timers.set('members-check', this._nextAt, () => {
			this._run();
		});
	}

	/** When a member counts as silent, or its grace period ends. */
	private _dueAt({identity, state, graceEndsAt, lastSeenAt, isProbePending}: Member): Instant {
		if (state === 'leaving' || isProbePending || identity === this._context.settings.identity) {
			return Number.POSITIVE_INFINITY;
		}

		return state === 'turning' ? graceEndsAt : lastSeenAt + (silentHeartbeats * this._context.settings.memberHeartbeatMilliseconds);
	}

	private _run(): void {
		const {now} = this._context;
		// After a pause of this process all announcements are still unread: the members get more time.
		const wasPaused = now - this._nextAt > pauseDetectionMilliseconds;
		for (const member of this._options.members.values()) {
			if (wasPaused) {
				member.lastSeenAt = now;
				member.graceEndsAt = Math.max(member.graceEndsAt, now + minCheckMilliseconds);
			} else if (this._dueAt(member) <= now) {
				this._probe(member);
			}
		}

		this.schedule();
	}

	/** A member whose entry another VM has written since is dropped without a probe. */
	private _probe(member: Member): void {
		const address = this._options.peerAddressOf(member.value);
		if (address === undefined || !this._options.isOwnWrite(member)) {
			this._options.removeLost(member);
			return;
		}

		const {lastSeenAt} = member;
		member.isProbePending = true;
		this._prober.probe(member.identity, address, isServing => {
			member.isProbePending = false;
			const isStillDue = this._options.members.get(member.identity) === member && member.state !== 'leaving' && member.lastSeenAt <= lastSeenAt;
			if (isStillDue) {
				this._handleProbeResult(member, isServing);
			}

			this.schedule();
		});
	}

	private _handleProbeResult(member: Member, isServing: boolean): void {
		const {now} = this._context;
		if (isServing) {
			member.lastSeenAt = now;
			member.graceEndsAt = now + turnGraceMilliseconds;
			return;
		}

		this._context.log('info', 'registered VM does not respond; its entry is removed', {
			member: member.identity, state: member.state, silentMilliseconds: Math.round(now - member.lastSeenAt),
		});
		this._options.removeLost(member);
	}
}
