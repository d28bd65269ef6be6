/** What the fleet loop needs of the world. */
import {type PeerAddress} from '../../common/fleet/types.ts';
import {type PeerMessage} from '../../common/fleet/peer-messages.ts';
import {type Event} from '../../common/lifecycle/emitter.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';

/** The platform's service. Never rejects: what went wrong is part of the reply. */
export type PlatformClient = {
	execute(operation: StoreOperation): Promise<StoreReply>;
	/** The VMs as the platform lists them; undefined while it gives no answer. */
	listVms(): Promise<readonly ListedVm[] | undefined>;
};

/** Messages between VMs. */
export type PeerTransport = {
	/** Sends; an undeliverable message is told by `onUnreachable`. */
	send(to: PeerAddress, message: PeerMessage): void;
	readonly onMessage: Event<PeerMessage>;
	readonly onUnreachable: Event<PeerAddress>;
};
