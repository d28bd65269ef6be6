/** Derives the bounds on connections from the memory and the descriptors that the platform allows the process. */

/** Resources of this process. */
export type ConnectionResources = {
	/** Memory that the platform allows, in MB; 0 = no limit. */
	readonly memoryMegabytes: number;
	/** Maximum size of V8's heap, in bytes. */
	readonly heapBytes: number;
	/** Descriptors that the platform allows; 0 = no limit. */
	readonly descriptors: number;
};

/** Bounds over all connections that the listeners of this process have accepted. */
export type ConnectionLimits = {
	/** Open connections. */
	readonly connections: number;
	/** Connections that may be closing beyond this number, while it is checked that no call of theirs is unread. */
	readonly closingConnections: number;
	/** Bytes of incomplete request heads. */
	readonly headBytes: number;
	/** Bytes of calls that wait behind an answer of their connection. */
	readonly waitingBytes: number;
	/** Calls of one connection that wait behind an answer. */
	readonly waitingCallsPerConnection: number;
};

const bytesPerMegabyte = 1_048_576;

/** Heap that an idle connection takes in node:http and here. */
const heapBytesPerConnection = 6000;

/** The rest of the descriptors is for connections to backend servers, the store and other VMs. */
const descriptorShare = 3 / 4;

const closingShare = 1 / 16;

/** Parts of the heap. A byte of an incomplete head of short fields takes about 5 bytes of it, because each field becomes two strings. */
const heapShare = {connections: 1 / 4, heads: 1 / 24, waiting: 1 / 16} as const;

const waitingCallsPerConnection = 16;

/** Returns infinity for 0, by which settings say that a resource is not limited. */
export function limitOrInfinity(limit: number): number {
	return limit === 0 ? Number.POSITIVE_INFINITY : limit;
}

/** The heap is assumed to take at most half of the memory, because buffers and code are outside of it. */
export function connectionLimits({memoryMegabytes, heapBytes, descriptors}: ConnectionResources): ConnectionLimits {
	const usableHeapBytes = Math.min(heapBytes, (limitOrInfinity(memoryMegabytes) * bytesPerMegabyte) / 2);
	return {
		connections: Math.max(1, Math.floor(Math.min(limitOrInfinity(descriptors) * descriptorShare, (usableHeapBytes * heapShare.connections) / heapBytesPerConnection))),
		closingConnections: Math.floor(limitOrInfinity(descriptors) * closingShare),
		headBytes: usableHeapBytes * heapShare.heads,
		waitingBytes: usableHeapBytes * heapShare.waiting,
		waitingCallsPerConnection,
	};
}
