/** How the registry feed travels between VMs: one JSON object a line, long ones compressed. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {type MemberAnnouncement, type FeedFrame} from '../../common/registry/types.ts';

/** Path of the feed on a VM's peers endpoint. */
export const feedPath = '/feed';

/**
 * From here on a frame is compressed. Forty VMs that follow one with a link of 7 Mbit/s would wait four seconds for a
 * configuration of 90 KB. 350 routes of chance names shrink from 54,918 to 5581 bytes.
 */
const compressFromBytes = 1000;

/** Most bytes of one frame, unpacked: the store holds a megabyte a value, and a fleet's entries come to less than that. */
const mostFrameBytes = 16_777_216;

const frameSchema = z.object({
	revision: z.int().min(0),
	ageMilliseconds: z.number().min(0),
	entries: z.array(z.object({
		key: z.string(), value: z.string(), revision: z.int(), createdAt: z.int().optional(),
	})).default([]),
	deleted: z.array(z.string()).default([]),
	isWhole: z.boolean().default(false),
});

const announcementSchema = z.object({identity: z.string().min(1), value: z.string(), intent: z.enum(['stay', 'turn', 'leave'])});

/** First letter of a compressed line; JSON objects begin with a brace. */
const compressedMark = 'z';

/** JSON has no `undefined`: what is absent is left out. */
function toFrame({entries, ...frame}: z.infer<typeof frameSchema>): FeedFrame {
	return {...frame, entries: entries.map(({createdAt, ...entry}) => createdAt === undefined ? entry : {...entry, createdAt})};
}

export function encodeFrame(frame: Partial<FeedFrame>): string {
	const text = JSON.stringify(frame);
	return text.length < compressFromBytes ? `${text}\n` : `${compressedMark}${deflateRawSync(text, {level: 1}).toString('base64')}\n`;
}

export function decodeFrame(line: string): Result<FeedFrame, Failure<'invalid-document'>> {
	try {
		const text = line.startsWith(compressedMark)
			? inflateRawSync(Buffer.from(line.slice(1), 'base64'), {maxOutputLength: mostFrameBytes}).toString()
			: line;
		const parsed = frameSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(toFrame(parsed.data)) : err(failure('invalid-document', `frame: ${parsed.error.issues[0]?.message ?? 'not of the agreed form'}`));
	} catch {
		return err(failure('invalid-document', 'a frame that is cut short'));
	}
}

export function encodeAnnouncement(announcement: MemberAnnouncement): string {
	return `${JSON.stringify(announcement)}\n`;
}

/** What a VM that follows says of itself; an error for a line of another form. */
export function decodeAnnouncement(line: string): Result<MemberAnnouncement, Failure<'invalid-document'>> {
	try {
		const parsed = announcementSchema.safeParse(JSON.parse(line));
		return parsed.success ? ok(parsed.data) : err(failure('invalid-document', 'an announcement that is not of the agreed form'));
	} catch {
		return err(failure('invalid-document', 'an announcement that is cut short'));
	}
}
