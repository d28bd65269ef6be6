/** Finds members that have fallen silent or not come back, and asks them directly before their entries are removed. */
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
export const turningMilliseconds: Milliseconds = 2000;

/** Shortest pause between two checks of the members. */
const shortestCheckMilliseconds: Milliseconds = 100;

/** A check that comes this late shows that this VM did not run: announcements may wait to be read. */
const pausedMilliseconds: Milliseconds = 1000;

/** What the check needs of the registrar. */
export type MemberCheckOptions = {
	readonly members: ReadonlyMap<string, Member>;
	/** Where other VMs reach the one with this entry; undefined = the entry cannot be read. */
	readonly peerAddressOf: (value: string) => PeerAddress | undefined;
	/** The entry stands as this VM wrote it. */
	readonly isOwnWrite: (member: Member) => boolean;
	/** The member is lost: its entry is removed, if this VM wrote it last. */
	readonly drop: (member: Member) => void;
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

	/** Members are others, or have been seen: the next check may be due at another time. */
	plan(): void {
		const due = Math.min(...Array.from(this._options.members.values(), member => this._dueAt(member)));
		if (due === Number.POSITIVE_INFINITY) {
			return;
		}

		this._nextAt = Math.max(due, this._context.now + shortestCheckMilliseconds);
		this._context.timers.set('members-check', this._nextAt, () => {
			this._run();
		});
	}

	/** When a member counts as silent, or its grace period ends. */
	private _dueAt({identity, state, endsAt, lastSeenAt, isProbed}: Member): Instant {
		if (state === 'leaving' || isProbed || identity === this._context.settings.identity) {
			return Number.POSITIVE_INFINITY;
		}

		return state === 'turning' ? endsAt : lastSeenAt + (silentHeartbeats * this._context.settings.memberBeatMilliseconds);
	}

	private _run(): void {
		const {now} = this._context;
		// Guards members of a VM that was itself frozen: it wakes with all their announcements unread.
		const wasPaused = now - this._nextAt > pausedMilliseconds;
		for (const member of this._options.members.values()) {
			if (wasPaused) {
				member.lastSeenAt = now;
				member.endsAt = Math.max(member.endsAt, now + shortestCheckMilliseconds);
			} else if (this._dueAt(member) <= now) {
				this._probe(member);
			}
		}

		this.plan();
	}

	/** The entry of a member that another VM has written is that one's affair. */
	private _probe(member: Member): void {
		const address = this._options.peerAddressOf(member.value);
		if (address === undefined || !this._options.isOwnWrite(member)) {
			this._options.drop(member);
			return;
		}

		const {lastSeenAt} = member;
		member.isProbed = true;
		this._prober.probe(member.identity, address, isServing => {
			member.isProbed = false;
			const isStillDue = this._options.members.get(member.identity) === member && member.state !== 'leaving' && member.lastSeenAt <= lastSeenAt;
			if (isStillDue) {
				this._takeResult(member, isServing);
			}

			this.plan();
		});
	}

	private _takeResult(member: Member, isServing: boolean): void {
		const {now} = this._context;
		if (isServing) {
			member.lastSeenAt = now;
			member.endsAt = now + turningMilliseconds;
			return;
		}

		this._context.log('info', 'a registered VM does not respond; its entry is removed', {
			member: member.identity, state: member.state, silentMilliseconds: Math.round(now - member.lastSeenAt),
		});
		this._options.drop(member);
	}
}
