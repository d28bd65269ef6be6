/** What follows from the members as a whole; made anew only when they change, as it goes through all of them. */
import {type AddressCandidates} from '../addresses/address-book.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type Member, type Membership} from './membership.ts';
import {chooseByRank} from './rendezvous.ts';

/** VMs of a data centre that watch the platform's service: one that reads, one should the first be gone. */
const watchersPerDataCentre = 2;

/** The members of one moment. */
export type MemberView = {
	/** Other VMs that callers may be sent to. */
	readonly serving: readonly Member[];
	/** Whether this VM is one of the few that watch the platform's service. */
	readonly isWatcher: boolean;
	readonly candidates: AddressCandidates;
};

export class MemberViews {
	private readonly _membership: Membership;
	private _cached: (MemberView & {readonly revision: number; readonly isServing: boolean}) | undefined;
	private _buildCount = 0;

	constructor(private readonly _context: FleetContext, membership: Membership) {
		this._membership = membership;
	}

	/** @param isServing whether this VM itself may be named to callers */
	get(isServing: boolean): MemberView {
		const {revision} = this._membership;
		if (this._cached?.revision !== revision || this._cached.isServing !== isServing) {
			this._cached = {...this._build(isServing), revision, isServing};
		}

		return this._cached;
	}

	/** Without a configuration every VM asks for itself; later only the few that rendezvous hashing names watch. */
	private _build(isServing: boolean): MemberView {
		const {dataCentre, identity} = this._context.settings;
		const membership = this._membership;
		const serving = membership.live.filter(({record}) => record.isServing && !record.isLeaving);
		const peers = membership.live.filter(({record}) => record.dataCentre === dataCentre && record.isServing).map(({record}) => record.identity);
		const watchers = chooseByRank([...peers, identity], watchersPerDataCentre, key => this._context.hash(`watch ${key}`));
		const own = {
			get record() {
				return membership.own;
			},
		};
		this._buildCount += 1;
		return {serving, isWatcher: watchers.includes(identity), candidates: {revision: this._buildCount, vms: isServing ? [...serving, own] : serving}};
	}
}
