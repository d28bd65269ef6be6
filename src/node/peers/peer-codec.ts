/** Converts the fleet engine's messages to and from protobuf. Received messages are validated with the engine's schema. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {type PeerBody, type PeerMessage, peerMessageSchema} from '../../common/fleet/peer-messages.ts';

export type PeerCodecFailureKind = 'malformed-message';

/** A message as a plain object of the protobuf library. */
export type WireMessage = Readonly<Record<string, unknown>>;

/** Field names of the bodies in the .proto file, where `members` is the list of membership rumours. */
const bodyFields: Readonly<Record<PeerBody['type'], string>> = {
	ping: 'ping',
	'ping-answer': 'pingAnswer',
	'ping-request': 'pingRequest',
	join: 'join',
	members: 'membersAnswer',
	rumours: 'rumours',
	'changes-request': 'changesRequest',
	changes: 'changes',
	'snapshot-page': 'snapshotPage',
	'share-offer': 'shareOffer',
	'share-accept': 'shareAccept',
	'share-grant': 'shareGrant',
	drain: 'drain',
};

const bodyTypes: ReadonlyMap<string, string> = new Map(Object.entries(bodyFields).map(([type, field]) => [field, type]));

const objectSchema = z.record(z.string(), z.unknown());
const listSchema = z.array(objectSchema);

function toJsonTexts(values: readonly unknown[]): string[] {
	return values.map(value => JSON.stringify(value));
}

function bodyToWire(body: PeerBody): WireMessage {
	const {type, ...fields} = body;
	if (body.type === 'changes') {
		return {changes: {records: toJsonTexts(body.records)}};
	}

	if (body.type === 'snapshot-page') {
		return {snapshotPage: {...fields, resources: toJsonTexts(body.resources), records: toJsonTexts(body.records)}};
	}

	return {[bodyFields[type]]: fields};
}

/** Converts a message to its protobuf form. */
export function toWire(message: PeerMessage): WireMessage {
	const {body, members, ...rest} = message;
	return {
		...rest,
		members: members.map(({record, verdict}) => ({record, verdict: verdict.toUpperCase()})),
		...bodyToWire(body),
	};
}

/** Removes absent fields, and the library's properties that mark optional fields as set, which begin with an underscore. */
function withoutPresenceFlags(value: unknown): Record<string, unknown> {
	const parsed = objectSchema.safeParse(value);
	return parsed.success ? Object.fromEntries(Object.entries(parsed.data).filter(([name, field]) => !name.startsWith('_') && field !== undefined && field !== null)) : {};
}

function parseJsonTexts(value: unknown): unknown[] {
	return z.array(z.string()).parse(value).map((text): unknown => JSON.parse(text));
}

function bodyFromWire(wire: Record<string, unknown>): unknown {
	const field = typeof wire.body === 'string' ? wire.body : '';
	const type = bodyTypes.get(field);
	const fields = withoutPresenceFlags(wire[field]);
	if (type === 'changes') {
		return {type, records: parseJsonTexts(fields.records)};
	}

	return type === 'snapshot-page'
		? {
			...fields, type, resources: parseJsonTexts(fields.resources), records: parseJsonTexts(fields.records),
		}
		: {...fields, type};
}

function updateFromWire(value: Record<string, unknown>): unknown {
	const {cleared, ...update} = withoutPresenceFlags(value);
	if (Array.isArray(cleared) && cleared.length > 0) {
		update.cleared = cleared;
	}

	for (const part of ['report', 'rateLimit'] as const) {
		if (update[part] !== undefined) {
			update[part] = withoutPresenceFlags(update[part]);
		}
	}

	return update;
}

function messageFromWire(wire: Record<string, unknown>): unknown {
	const {
		protocol, sender, storeContactAgeMilliseconds, leavingDigest,
	} = withoutPresenceFlags(wire);
	return {
		protocol,
		sender,
		storeContactAgeMilliseconds,
		leavingDigest,
		body: bodyFromWire(wire),
		members: listSchema.parse(wire.members).map(({record, verdict}) => ({record, verdict: String(verdict).toLowerCase()})),
		leaving: listSchema.parse(wire.leaving).map(rumour => withoutPresenceFlags(rumour)),
		updates: listSchema.parse(wire.updates).map(update => updateFromWire(update)),
	};
}

/** Validates and converts a received message. An invalid message is rejected as a whole. */
export function fromWire(wire: unknown): Result<PeerMessage, Failure<PeerCodecFailureKind>> {
	try {
		const parsed = peerMessageSchema.safeParse(messageFromWire(objectSchema.parse(wire)));
		if (parsed.success) {
			return ok(parsed.data);
		}

		const issue = parsed.error.issues[0];
		return err(failure('malformed-message', `Invalid message from another VM: ${issue?.message ?? 'no detail'}.`, {field: issue?.path.join('.')}));
	} catch {
		return err(failure('malformed-message', 'Invalid message from another VM: a part is malformed or not valid JSON.'));
	}
}
