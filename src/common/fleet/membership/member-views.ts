/** Values derived from the whole member list. They are cached until the list changes, because building them visits every member. */
import {type AddressCandidates} from '../addresses/address-selector.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type Member, type Membership} from './membership.ts';
import {chooseByRank} from './rendezvous.ts';

/** VMs per data centre that watch the platform's service: one, and a second in case the first fails. */
const watchersPerDataCentre = 2;

/** Values derived from one revision of the member list. */
export type MemberView = {
	/** Other VMs that may be returned to callers. */
	readonly serving: readonly Member[];
	/** Whether this VM watches the platform's service. */
	readonly isWatcher: boolean;
	/** VMs that may be returned to callers, this VM included if it serves. */
	readonly candidates: AddressCandidates;
};

export class MemberViews {
	private readonly _membership: Membership;
	private _cached: (MemberView & {readonly revision: number; readonly isServing: boolean}) | undefined;
	private _buildCount = 0;

	constructor(private readonly _context: FleetContext, membership: Membership) {
		this._membership = membership;
	}

	/** @param isServing whether this VM itself may be returned to callers */
	get(isServing: boolean): MemberView {
		const {revision} = this._membership;
		if (this._cached?.revision !== revision || this._cached.isServing !== isServing) {
			this._cached = {...this._build(isServing), revision, isServing};
		}

		return this._cached;
	}

	/**
	 * Chooses the watchers by rendezvous hashing among this VM and the live members of its data centre that serve. While
	 * none serves, because no VM has a configuration yet, every VM watches for itself.
	 */
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
