/** Definitions of all metrics that a VM sends to StatsD. A test compares the operators' page with this list. */

/** A metric's StatsD type. */
export type MetricType = 'counter' | 'timing' | 'gauge';

export type MetricDefinition = {
	readonly type: MetricType;
	/** Tags in addition to `vm` and `data_centre`, which all metrics have. */
	readonly tags: readonly string[];
	readonly describe: string;
};

/**
 * Tags have few values, bounded by the operator's configuration, such as services and outcomes. Callers, keys and
 * fingerprints are never tags: callers determine their number, and each value adds a series to the metrics system.
 */
export const metricCatalogue = {
	'calls.ended': {
		type: 'counter',
		tags: ['service', 'outcome', 'reason', 'good'],
		describe: 'Calls that ended. `outcome` is ran, not-run or unknown; `reason` is why jaydale gave up, or none; `good` = within the objective.',
	},
	'calls.milliseconds': {type: 'timing', tags: ['service'], describe: 'From a call\'s arrival to the end of its answer. One in ten calls is sampled.'},
	'calls.queued_milliseconds': {type: 'timing', tags: ['service'], describe: 'Time a call waited for a backend server. One in ten calls is sampled.'},
	'calls.further_attempts': {type: 'counter', tags: ['service'], describe: 'Attempts beyond the first: retries and hedges.'},
	'organisations.calls': {
		type: 'counter',
		tags: ['organisation', 'good'],
		describe: 'Calls of organisations that ended; the ten with the most in the minute before have their names, all others are (others).',
	},
	'organisations.refused_keys': {type: 'counter', tags: ['reason'], describe: 'Calls refused because they had no key of an organisation: `reason` is unknown-key or no-key.'},
	'answers.cut': {type: 'counter', tags: ['closed_by'], describe: 'Answers whose connection ended before the system had all of them. `closed_by` is caller, or here: this VM broke it off.'},
	'calls.in_flight': {type: 'gauge', tags: [], describe: 'Calls that have not ended.'},
	'calls.queued': {type: 'gauge', tags: [], describe: 'Calls that wait for a backend server.'},
	'configurations.rejected': {type: 'counter', tags: ['route'], describe: 'Configurations that could not be read; the one in force stays. `route` is the one at fault, or none.'},
	'evacuations.in_force': {type: 'gauge', tags: [], describe: 'Data centres that this VM sends no new calls to.'},
	'store.era': {type: 'gauge', tags: [], describe: 'Era of the store; it rises when the store is restored from a backup. VMs that differ for more than a second or two are worth a look.'},
	'store.restored': {type: 'counter', tags: [], describe: 'Restores of the store from a backup that this VM has seen.'},
	'rate_limits.in_force': {type: 'gauge', tags: [], describe: 'Backend servers that name a rate limit now, as far as this VM knows.'},
	'rate_limits.unreadable': {type: 'counter', tags: ['service'], describe: 'Backend servers that began to name a rate limit which cannot be read; calls go there as before.'},
	'rate_limits.withheld': {type: 'counter', tags: ['service'], describe: 'Calls that were placed elsewhere or refused while the VM\'s share of some backend server\'s rate limit was spent.'},
	'organisation_limits.datagrams': {type: 'counter', tags: ['result'], describe: 'Datagrams about rate limits of organisations: `result` is sent, received, failed (not sent) or malformed.'},
	'organisation_limits.held_slots': {type: 'gauge', tags: [], describe: 'Slots of the rate limits for which this VM may grant. Over all VMs the sum should be 3; it is never more.'},
	'organisation_limits.right_age_milliseconds': {type: 'gauge', tags: [], describe: 'Time since the oldest renewal of these slots was sent; the right ends at 9,500.'},
	'organisation_limits.asks': {type: 'counter', tags: ['outcome'], describe: 'Requests for tokens of organisations\' rate limits, by call and slot: `outcome` is granted, refused, or unanswered: the holder gave no answer in time.'},
	'links.changes': {type: 'counter', tags: ['state'], describe: 'Changes of the path to a backend server: `state` is direct, relayed or unreachable.'},
	'links.lost': {type: 'gauge', tags: [], describe: 'Backend servers that this VM has no direct link to.'},
	'links.attempts': {type: 'counter', tags: ['path'], describe: 'Attempts by the path of their connection: direct or relayed through another VM.'},
	'links.tunnels': {type: 'counter', tags: ['result'], describe: 'Connections to backend servers that other VMs asked this one for.'},
	'poison_requests.changes': {type: 'counter', tags: ['change'], describe: 'What a VM learnt of calls that crash backend servers: `change` is crash, quarantined or cleared.'},
	'poison_requests.quarantined': {type: 'gauge', tags: [], describe: 'Calls that this VM refuses because backend servers crashed while running them; all VMs should agree.'},
	'measuring.calls': {type: 'counter', tags: ['service'], describe: 'Calls made only to learn a backend server\'s load; each is paid from the service\'s budget.'},
	'measuring.part': {type: 'gauge', tags: [], describe: 'Part of the fleet\'s measuring budgets that this VM may spend, 0 to 1.'},
	'configuration.version': {type: 'gauge', tags: [], describe: 'Configuration version in force. VMs that differ for more than some seconds are worth a look.'},
	'memory.refusals': {type: 'counter', tags: ['kind'], describe: 'What found no room in memory: `kind` is body (its call was refused), peer-message (refused) or answer (forwarded early).'},
	'connections.callers': {type: 'gauge', tags: [], describe: 'Open connections of callers.'},
	'connections.closed_for_room': {
		type: 'counter',
		tags: ['listener', 'reason'],
		describe: 'Connections closed or refused so that others have room. `reason` is heads (bytes of incomplete ones), connections, or waiting-calls (dropped unread).',
	},
	'vm.utilisation': {type: 'gauge', tags: [], describe: 'Part of the time that the event loop was busy, 0 to 1.'},
	'platform.calls': {type: 'counter', tags: ['operation', 'reply'], describe: 'Requests to the platform\'s service.'},
	'platform.milliseconds': {type: 'timing', tags: ['operation'], describe: 'Time that the platform\'s service took to answer.'},
	'peers.messages': {type: 'counter', tags: ['direction'], describe: 'Messages between VMs.'},
	'peers.bytes': {type: 'counter', tags: ['direction'], describe: 'Bytes of the messages between VMs, without gRPC\'s framing.'},
	'vm.unexpected_errors': {type: 'counter', tags: [], describe: 'Exceptions that no part of the program has caught. Each is logged with its stack; the VM goes on.'},
	'operators.requests': {type: 'counter', tags: ['method', 'status'], describe: 'Requests to the resource API.'},
} as const satisfies Readonly<Record<string, MetricDefinition>>;

export type MetricName = keyof typeof metricCatalogue;

/** Names of the metrics of one type. */
export type MetricNameOf<Type extends MetricType> = {
	[Name in MetricName]: (typeof metricCatalogue)[Name]['type'] extends Type ? Name : never;
}[MetricName];

/** Tags that a metric requires. */
export type TagsOf<Name extends MetricName> = Readonly<Record<(typeof metricCatalogue)[Name]['tags'][number], string>>;
