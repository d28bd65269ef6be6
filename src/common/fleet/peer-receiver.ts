/** Hands a message of another VM to the parts that it concerns. */
import {type ConfigurationExchange} from './configuration/configuration-exchange.ts';
import {type Contact} from './contact.ts';
import {type LeavingSigns} from './leaving/leaving-signs.ts';
import {type LoadUpdateExchange} from './leaving/load-update-exchange.ts';
import {type Membership} from './membership/membership.ts';
import {type Prober} from './membership/prober.ts';
import {type PeerMailbox} from './peer-mailbox.ts';
import {type PeerMessage} from './peer-messages.ts';
import {type ShareHandover} from './shares/share-handover.ts';
import {type VmIdentity} from './types.ts';

/** The parts that messages concern. */
export type ReceiverParts = {
	readonly mailbox: PeerMailbox;
	readonly membership: Membership;
	readonly prober: Prober;
	readonly contact: Contact;
	readonly exchange: ConfigurationExchange;
	readonly handover: ShareHandover;
	readonly signs: LeavingSigns;
	readonly update: LoadUpdateExchange;
	readonly ownIdentity: VmIdentity;
	readonly drain: (identity: VmIdentity) => void;
};

export class PeerReceiver {
	private readonly _parts: ReceiverParts;

	constructor(parts: ReceiverParts) {
		this._parts = parts;
	}

	/** Takes what rides along first: it may decide how the body is seen. */
	take(message: PeerMessage): void {
		const {sender} = message;
		if (sender.identity === this._parts.ownIdentity) {
			return;
		}

		this._parts.mailbox.messagesReceived += 1;
		this._parts.contact.takePeer(sender.identity, message.storeContactAgeMilliseconds);
		this._parts.membership.takeSender(sender);
		this._parts.membership.takeUpdates(message.members);
		for (const {identity, instance, ageMilliseconds} of message.leaving) {
			this._parts.signs.take({identity, instance, source: 'peer'}, ageMilliseconds);
		}

		this._parts.mailbox.compareLeaving(sender.peerAddress, message.leavingDigest);
		for (const {identity, report, ageMilliseconds} of message.updates) {
			if (report?.instance !== undefined && !report.isLeaving) {
				this._parts.signs.takeReturn(identity, report.instance, ageMilliseconds);
			}
		}

		if (message.updates.length > 0) {
			this._parts.update.takePeers(message.updates.map(piece => ({
				...piece, crash: piece.crash, report: piece.report && {...piece.report, instance: piece.report.instance},
			})));
		}

		this._parts.exchange.takeSender(sender);
		this._takeBody(message);
	}

	private _takeBody({sender, body}: PeerMessage): void {
		switch (body.type) {
			case 'ping': {
				this._parts.prober.takePing(sender, body.nonce);
				break;
			}

			case 'ping-answer': {
				this._parts.prober.takeAnswer(body.nonce);
				break;
			}

			case 'ping-request': {
				this._parts.prober.takePingRequest(sender, body.nonce, body.target);
				break;
			}

			case 'join': {
				this._parts.mailbox.send(sender.peerAddress, {type: 'members'});
				break;
			}

			case 'changes-request': {
				this._parts.exchange.answerRequest(sender.peerAddress, body.after);
				break;
			}

			case 'changes': {
				this._parts.exchange.takeChanges(sender, body.records);
				break;
			}

			case 'snapshot-page': {
				this._parts.exchange.takePage(sender, body);
				break;
			}

			case 'share-offer': {
				this._parts.handover.takeOffer(sender, body.slot);
				break;
			}

			case 'share-accept': {
				this._parts.handover.takeAcceptance(sender, body.slot, body.nonce);
				break;
			}

			case 'share-grant': {
				this._parts.handover.takeGrant(sender, body);
				break;
			}

			case 'drain': {
				this._parts.drain(body.identity);
				break;
			}

			case 'members':
			case 'rumours': {
				// What these carry rides along with every message and was taken above.
				break;
			}
		}
	}
}
