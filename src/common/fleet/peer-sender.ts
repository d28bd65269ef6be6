/** Builds and sends messages to other VMs: the sender's record, a body, and piggybacked rumours and load updates of limited size. */
import {type FleetContext} from './fleet-context.ts';
import {type LeavingSigns} from './leaving/leaving-signs.ts';
import {type LoadUpdateExchange} from './leaving/load-update-exchange.ts';
import {type Membership} from './membership/membership.ts';
import {type PeerBody, type PeerMessage} from './peer-messages.ts';
import {type PeerAddress} from './types.ts';

/**
 * Limits on piggybacked data, in characters of JSON (which exceed the bytes on the wire) or in leaving signs. With about
 * 4 messages a second, rumours cost at most 10 KB a second under any load; the rest waits for the next message.
 */
const maxMemberCharacters = 1200;
const maxLoadUpdateCharacters = 1000;
const maxLeavingSigns = 8;
const maxLeavingSignsInAnswer = 512;

/** Minimum interval between full exchanges of leaving signs with one peer. Digests differ briefly across the fleet while a sign spreads. */
const leavingSyncIntervalMilliseconds = 1000;

const rumourCarriers: ReadonlySet<PeerBody['type']> = new Set(['ping', 'ping-answer', 'rumours', 'members']);

export class PeerSender {
	messagesSent = 0;
	messagesReceived = 0;
	private _isSendingAllSigns = false;
	private readonly _loadUpdates: LoadUpdateExchange;

	constructor(
		private readonly _context: FleetContext,
		private readonly _membership: Membership,
		private readonly _leavingSigns: LeavingSigns,
		loadUpdates: LoadUpdateExchange,
	) {
		this._loadUpdates = loadUpdates;
	}

	readonly send = (to: PeerAddress, body: PeerBody): void => {
		const {now, storeContactAt} = this._context;
		const isCarrier = rumourCarriers.has(body.type);
		const message: PeerMessage = {
			protocol: 1,
			sender: this._membership.own,
			...(storeContactAt === undefined ? {} : {storeContactAgeMilliseconds: now - storeContactAt}),
			body,
			members: isCarrier ? this._memberRumours(to, body) : [],
			leaving: isCarrier ? this._leavingRumours(body) : [],
			...(isCarrier && {leavingDigest: this._leavingSigns.digest()}),
			updates: isCarrier ? this._loadUpdates.nextUpdates(maxLoadUpdateCharacters) : [],
		};
		this.messagesSent += 1;
		this._context.emit({type: 'send', to, message});
	};

	/**
	 * Guards a VM that was paused or cut off against sending calls to a leaving backend server: rumours are sent only a few
	 * times, so it may have missed the sign. A VM that receives a digest other than its own sends all its signs back.
	 */
	syncLeavingSigns(from: PeerAddress, digest: number | undefined): void {
		const timer = `leaving-${from}`;
		if (digest === undefined || digest === this._leavingSigns.digest() || this._context.timers.has(timer)) {
			return;
		}

		this._context.timers.set(timer, this._context.now + leavingSyncIntervalMilliseconds, () => undefined);
		this._isSendingAllSigns = true;
		this.send(from, {type: 'rumours'});
		this._isSendingAllSigns = false;
	}

	/** Sends pending rumours to some live members at once, without waiting for the next probe. */
	push(targets: number): void {
		for (const {record} of this._context.pickRandom(this._membership.live, targets)) {
			this.send(record.peerAddress, {type: 'rumours'});
		}
	}

	/**
	 * Guards a VM that joins late against sending calls to a leaving backend server: rumours are sent only a few times, so
	 * it would never receive an earlier sign. The answer to a join holds all signs, up to the limit.
	 */
	private _leavingRumours(body: PeerBody): PeerMessage['leaving'] {
		return body.type === 'members' || this._isSendingAllSigns ? this._leavingSigns.latest(maxLeavingSignsInAnswer) : this._leavingSigns.nextRumours(maxLeavingSigns);
	}

	private _memberRumours(to: PeerAddress, body: PeerBody): PeerMessage['members'] {
		return body.type === 'members' ? this._membership.allUpdates() : [...this._membership.verdictsAgainst(to), ...this._membership.nextRumours(maxMemberCharacters)];
	}
}
