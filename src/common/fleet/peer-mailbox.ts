/** Puts messages to other VMs together: who sends, what, and the rumours that ride along within a limit of bytes. */
import {type FleetContext} from './fleet-context.ts';
import {type LeavingSigns} from './leaving/leaving-signs.ts';
import {type LoadNewsExchange} from './leaving/load-news-exchange.ts';
import {type Membership} from './membership/membership.ts';
import {type PeerBody, type PeerMessage} from './peer-messages.ts';
import {type PeerAddress} from './types.ts';

/**
 * Limits on what rides along, in characters of JSON (more than the bytes on the wire). About 4 messages a second
 * go out, so rumours cost at most 10 KB a second in a storm; the rest waits for the next message.
 */
const memberCharacters = 1200;
const newsCharacters = 1000;
const mostLeaving = 8;

const carriers: ReadonlySet<PeerBody['type']> = new Set(['ping', 'ping-answer', 'rumours', 'members']);

export class PeerMailbox {
	messagesSent = 0;
	messagesReceived = 0;
	private readonly _news: LoadNewsExchange;

	constructor(
		private readonly _context: FleetContext,
		private readonly _membership: Membership,
		private readonly _signs: LeavingSigns,
		news: LoadNewsExchange,
	) {
		this._news = news;
	}

	/** Sends one message. */
	readonly send = (to: PeerAddress, body: PeerBody): void => {
		const {now, storeContactAt} = this._context;
		const isCarrier = carriers.has(body.type);
		const message: PeerMessage = {
			protocol: 1,
			sender: this._membership.own,
			...(storeContactAt === undefined ? {} : {storeContactAgeMilliseconds: now - storeContactAt}),
			body,
			members: isCarrier ? this._members(to, body) : [],
			leaving: isCarrier ? this._signs.takeRumours(mostLeaving) : [],
			news: isCarrier ? this._news.takeNews(newsCharacters) : [],
		};
		this.messagesSent += 1;
		this._context.emit({type: 'send', to, message});
	};

	/** Sends what can't wait for the next probe to some live members. */
	push(targets: number): void {
		for (const {record} of this._context.pick(this._membership.live, targets)) {
			this.send(record.peerAddress, {type: 'rumours'});
		}
	}

	private _members(to: PeerAddress, body: PeerBody): PeerMessage['members'] {
		return body.type === 'members' ? this._membership.allUpdates() : [...this._membership.verdictAgainst(to), ...this._membership.takeRumours(memberCharacters)];
	}
}
