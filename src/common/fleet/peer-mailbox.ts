/** Puts messages to other VMs together: who sends, what, and the rumours that ride along within a limit of bytes. */
import {type FleetContext} from './fleet-context.ts';
import {type LeavingSigns} from './leaving/leaving-signs.ts';
import {type LoadUpdateExchange} from './leaving/load-update-exchange.ts';
import {type Membership} from './membership/membership.ts';
import {type PeerBody, type PeerMessage} from './peer-messages.ts';
import {type PeerAddress} from './types.ts';

/**
 * Limits on what rides along, in characters of JSON (more than the bytes on the wire). About 4 messages a second
 * go out, so rumours cost at most 10 KB a second in a storm; the rest waits for the next message.
 */
const maxMemberCharacters = 1200;
const maxLoadUpdateCharacters = 1000;
const maxLeavingSigns = 8;
const maxLeavingSignsInAnswer = 512;

/** VMs that differ tell each other all signs at most this often: while a sign spreads, all differ for a moment. */
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

	/** Sends one message. */
	readonly send = (to: PeerAddress, body: PeerBody): void => {
		const {now, storeContactAt} = this._context;
		const isCarrier = rumourCarriers.has(body.type);
		const message: PeerMessage = {
			protocol: 1,
			sender: this._membership.own,
			...(storeContactAt === undefined ? {} : {storeContactAgeMilliseconds: now - storeContactAt}),
			body,
			members: isCarrier ? this._members(to, body) : [],
			leaving: isCarrier ? this._leaving(body) : [],
			...(isCarrier && {leavingDigest: this._leavingSigns.digest()}),
			updates: isCarrier ? this._loadUpdates.nextUpdates(maxLoadUpdateCharacters) : [],
		};
		this.messagesSent += 1;
		this._context.emit({type: 'send', to, message});
	};

	/**
	 * Guard: rumours go out a few times only, so a VM that was paused or cut off meanwhile would never hear of a
	 * server that left; it would give it work. Whoever hears another digest than its own tells all it knows.
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

	/** Sends what can't wait for the next probe to some live members. */
	push(targets: number): void {
		for (const {record} of this._context.pick(this._membership.live, targets)) {
			this.send(record.peerAddress, {type: 'rumours'});
		}
	}

	/**
	 * Guard: rumours go out a few times only, so a VM that joins later would never hear of a server that left
	 * before; it would give it work. It gets all signs with the members.
	 */
	private _leaving(body: PeerBody): PeerMessage['leaving'] {
		return body.type === 'members' || this._isSendingAllSigns ? this._leavingSigns.latest(maxLeavingSignsInAnswer) : this._leavingSigns.nextRumours(maxLeavingSigns);
	}

	private _members(to: PeerAddress, body: PeerBody): PeerMessage['members'] {
		return body.type === 'members' ? this._membership.allUpdates() : [...this._membership.verdictsAgainst(to), ...this._membership.nextRumours(maxMemberCharacters)];
	}
}
