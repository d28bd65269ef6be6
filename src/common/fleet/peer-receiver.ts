/** Dispatches a message from another VM to the components that handle its contents. */
import {type ConfigurationExchange} from './configuration/configuration-exchange.ts';
import {type ContactMonitor} from './contact-monitor.ts';
import {type LeavingSigns} from './leaving/leaving-signs.ts';
import {type LoadUpdateExchange} from './leaving/load-update-exchange.ts';
import {type Membership} from './membership/membership.ts';
import {type Prober} from './membership/prober.ts';
import {type PeerSender} from './peer-sender.ts';
import {type PeerMessage} from './peer-messages.ts';
import {type ShareHandover} from './shares/share-handover.ts';
import {type VmIdentity} from './types.ts';

/** Components that handle the contents of peer messages. */
export type ReceiverParts = {
	readonly peerSender: PeerSender;
	readonly membership: Membership;
	readonly prober: Prober;
	readonly contactMonitor: ContactMonitor;
	readonly exchange: ConfigurationExchange;
	readonly handover: ShareHandover;
	readonly leavingSigns: LeavingSigns;
	readonly loadUpdates: LoadUpdateExchange;
	readonly ownIdentity: VmIdentity;
	readonly drain: (identity: VmIdentity) => void;
};

export class PeerReceiver {
	private readonly _parts: ReceiverParts;

	constructor(parts: ReceiverParts) {
		this._parts = parts;
	}

	/** Handles the sender and the piggybacked data before the body, because the body's handling may depend on them. */
	handle(message: PeerMessage): void {
		const {sender} = message;
		if (sender.identity === this._parts.ownIdentity) {
			return;
		}

		this._parts.peerSender.messagesReceived += 1;
		this._parts.contactMonitor.recordPeerContact(sender.identity, message.storeContactAgeMilliseconds);
		this._parts.membership.handleSender(sender);
		this._parts.membership.mergeUpdates(message.members);
		for (const {identity, instance, ageMilliseconds} of message.leaving) {
			this._parts.leavingSigns.add({identity, instance, source: 'peer'}, ageMilliseconds);
		}

		this._parts.peerSender.syncLeavingSigns(sender.peerAddress, message.leavingDigest);
		for (const {identity, report, ageMilliseconds} of message.updates) {
			if (report?.instance !== undefined && !report.isLeaving) {
				this._parts.leavingSigns.handleReturn(identity, report.instance, ageMilliseconds);
			}
		}

		if (message.updates.length > 0) {
			this._parts.loadUpdates.handlePeerUpdates(message.updates.map(loadUpdate => ({
				...loadUpdate, crash: loadUpdate.crash, report: loadUpdate.report && {...loadUpdate.report, instance: loadUpdate.report.instance},
			})));
		}

		this._parts.exchange.handleSender(sender);
		this._handleBody(message);
	}

	private _handleBody({sender, body}: PeerMessage): void {
		switch (body.type) {
			case 'ping': {
				this._parts.prober.handlePing(sender, body.nonce);
				break;
			}

			case 'ping-answer': {
				this._parts.prober.handleAnswer(body.nonce);
				break;
			}

			case 'ping-request': {
				this._parts.prober.handlePingRequest(sender, body.nonce, body.target);
				break;
			}

			case 'join': {
				this._parts.peerSender.send(sender.peerAddress, {type: 'members'});
				break;
			}

			case 'changes-request': {
				this._parts.exchange.answerRequest(sender.peerAddress, body.after);
				break;
			}

			case 'changes': {
				this._parts.exchange.handleChanges(sender, body.records);
				break;
			}

			case 'snapshot-page': {
				this._parts.exchange.handlePage(sender, body);
				break;
			}

			case 'share-offer': {
				this._parts.handover.handleOffer(sender, body.slot);
				break;
			}

			case 'share-accept': {
				this._parts.handover.handleAcceptance(sender, body.slot, body.nonce);
				break;
			}

			case 'share-grant': {
				this._parts.handover.handleGrant(sender, body);
				break;
			}

			case 'drain': {
				this._parts.drain(body.identity);
				break;
			}

			case 'members':
			case 'rumours': {
				// These messages have no content besides the piggybacked data, which is handled above.
				break;
			}
		}
	}
}
