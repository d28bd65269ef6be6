/** Interfaces to the platform and to other VMs that the fleet's adapters use. */
import {type PeerAddress} from '../../common/fleet/types.ts';
import {type PeerMessage} from '../../common/fleet/peer-messages.ts';
import {type Event} from '../../common/lifecycle/emitter.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';

/** Client of the platform's service. Its promises never reject; failures are part of the reply. */
export type PlatformClient = {
	execute(operation: StoreOperation): Promise<StoreReply>;
	/** Returns the platform's list of VMs; undefined if it cannot be read. */
	listVms(): Promise<readonly ListedVm[] | undefined>;
};

/** Transport of messages between VMs. */
export type PeerTransport = {
	/** Sends a message; `onUnreachable` fires if it cannot be delivered. */
	send(to: PeerAddress, message: PeerMessage): void;
	readonly onMessage: Event<PeerMessage>;
	readonly onUnreachable: Event<PeerAddress>;
};
