/** Hands the share slot to another VM in a planned stop, by offer, acceptance and grant. Needs no store, so it works in an outage. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type Membership} from '../membership/membership.ts';
import {type MemberRecord, type PeerBody} from '../peer-messages.ts';
import {type PeerAddress} from '../types.ts';
import {type ShareHolder} from './share-holder.ts';

/** If an offer is not accepted within this time, the slot is offered to another VM. */
const offerTimeoutMilliseconds: Milliseconds = 300;

/** Number of offers after which the slot is released instead. */
const maxOffers = 4;

type Acceptance = {readonly nonce: number; readonly slot: number; readonly from: PeerAddress; readonly at: Instant};

export class ShareHandover {
	private readonly _send: (to: PeerAddress, body: PeerBody) => void;
	private _offeredTo: PeerAddress | undefined;
	private _offerCount = 0;
	private _nonce = 0;
	private _acceptance: Acceptance | undefined;
	private _onDone: (() => void) | undefined;

	constructor(
		private readonly _context: FleetContext,
		private readonly _membership: Membership,
		private readonly _holder: ShareHolder,
		send: (to: PeerAddress, body: PeerBody) => void,
	) {
		this._send = send;
	}

	/** Offers the slot to other VMs; calls `onDone` when it has been handed over or released. */
	begin(onDone: () => void): void {
		this._onDone = onDone;
		this._offerNext();
	}

	handleOffer(from: MemberRecord, slot: number): void {
		if (!this._holder.needsSlot) {
			return;
		}

		this._nonce += 1;
		this._acceptance = {
			nonce: this._nonce, slot, from: from.peerAddress, at: this._context.now,
		};
		this._send(from.peerAddress, {type: 'share-accept', slot, nonce: this._nonce});
	}

	/**
	 * Guards against granting the slot twice: a late or repeated acceptance finds no slot to grant. The grant is sent after
	 * this VM's right to use the slot has ended, so the two VMs' rights never overlap.
	 */
	handleAcceptance(from: MemberRecord, slot: number, nonce: number): void {
		if (this._offeredTo !== from.peerAddress || this._holder.slot !== slot) {
			return;
		}

		const grant = this._holder.releaseForHandover();
		if (grant) {
			this._send(from.peerAddress, {
				type: 'share-grant', ...grant, nonce, revision: 0,
			});
		}

		this._finish();
	}

	/** Accepts only the grant for the latest acceptance; the remaining time of an older grant would be counted from the wrong instant. */
	handleGrant(from: MemberRecord, grant: PeerBody & {readonly type: 'share-grant'}): void {
		const acceptance = this._acceptance;
		if (acceptance?.nonce !== grant.nonce || acceptance.from !== from.peerAddress || acceptance.slot !== grant.slot) {
			return;
		}

		this._acceptance = undefined;
		this._holder.acceptHandover({slot: grant.slot, leaseId: grant.leaseId, remainingMilliseconds: grant.remainingMilliseconds}, acceptance.at);
	}

	private _offerNext(): void {
		const {slot} = this._holder;
		const candidates = this._membership.live.filter(({record}) => !record.isLeaving && !record.holdsShare && record.peerAddress !== this._offeredTo);
		const [successor] = this._context.pickRandom(candidates, 1);
		if (slot === undefined || !successor || this._offerCount >= maxOffers) {
			this._holder.release();
			this._finish();
			return;
		}

		this._offerCount += 1;
		this._offeredTo = successor.record.peerAddress;
		this._send(this._offeredTo, {type: 'share-offer', slot});
		this._context.timers.set('share-offer', this._context.now + offerTimeoutMilliseconds, () => {
			this._offerNext();
		});
	}

	private _finish(): void {
		this._context.timers.clear('share-offer');
		const onDone = this._onDone;
		this._onDone = undefined;
		this._offeredTo = undefined;
		onDone?.();
	}
}
