/** Reads and validates the parts of a request to the resource API; every error names its field. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {type Context} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {failure} from '../../common/errors/failure.ts';
import {nameSchema, resourceKey, type ResourceKey} from '../../common/model/resources.ts';
import {inputFailures, type InputFailure} from '../../common/settings/schema-failures.ts';
import {type Operator} from './operator-directory.ts';
import {invalidInput, problem} from './problems.ts';
import {operationSchema, resourceKindSchema, type Problem} from './types.ts';

/** Values that the middleware sets for the routes: the operator, and the maximum size of a body in bytes. */
export type ApiEnvironment = {Variables: {operator: Operator; bodyBytes: number}};

/** Version of the resource that a write requires; 0 = it must not exist, undefined = any version. */
export type Precondition = {readonly expected: number | undefined};

const pathSchema = z.strictObject({kind: resourceKindSchema, name: nameSchema});

/** Reads the JSON body and validates it against a schema. */
export async function readBody<Schema extends z.ZodType>(context: Context<ApiEnvironment>, schema: Schema): Promise<Result<z.infer<Schema>, Problem>> {
	const mediaType = context.req.header('content-type')?.split(';', 1)[0]?.trim().toLowerCase();
	if (mediaType !== 'application/json') {
		return err(problem('unsupported-media-type', `found ${mediaType === undefined ? 'no content-type' : `content-type ${mediaType}`}; allowed: application/json`));
	}

	const text = await readText(context.req.raw, context.var.bodyBytes);
	return text.andThen(value => parseJson(value)).andThen(input => checkInput(schema, input));
}

/** Validates an input against a schema. */
export function checkInput<Schema extends z.ZodType>(schema: Schema, input: unknown): Result<z.infer<Schema>, Problem> {
	const parsed = schema.safeParse(input);
	return parsed.success ? ok(parsed.data) : err(invalidInput(inputFailures(parsed.error, input, schema)));
}

/** Reads the key of a resource from the path. */
export function readKey(context: Context): Result<ResourceKey, Problem> {
	return checkInput(pathSchema, {kind: context.req.param('kind'), name: context.req.param('name')}).map(resourceKey);
}

/** Reads a whole number from 0 to `most` from the query; `fallback` if the parameter is absent. */
export function readNumber(context: Context, name: string, fallback: number, max: number): Result<number, Problem> {
	const text = context.req.query(name);
	if (text === undefined) {
		return ok(fallback);
	}

	const range = `a whole number from 0 to ${max}`;
	const schema = z.strictObject({[name]: z.string().regex(/^\d{1,15}$/v, range).transform(Number).refine(value => value <= max, range)});
	return checkInput(schema, {[name]: text}).map(value => Number(value[name]));
}

/** Reads the expected version from If-Match or If-None-Match. One of the two is required, so that no write is unconditional by accident. */
export function readPrecondition(context: Context): Result<Precondition, Problem> {
	const ifMatch = context.req.header('if-match');
	if (ifMatch === '*') {
		return ok({expected: undefined});
	}

	if (ifMatch !== undefined) {
		const version = /^"(?<version>[1-9]\d{0,15})"$/v.exec(ifMatch)?.groups?.version;
		return version === undefined
			? err(invalidInput([headerFault('if-match', ifMatch, 'the ETag of the resource, such as "17", or *')]))
			: ok({expected: Number(version)});
	}

	const ifNoneMatch = context.req.header('if-none-match');
	if (ifNoneMatch === undefined) {
		return err(problem('precondition-required', 'allowed: If-Match with the ETag that was read (* = any version), or If-None-Match: * to create'));
	}

	return ifNoneMatch === '*' ? ok({expected: 0}) : err(invalidInput([headerFault('if-none-match', ifNoneMatch, '*')]));
}

/** Reads the operation's identity from the Idempotency-Key header; generates one if the header is absent. */
export function readOperation(context: Context): Result<string, Problem> {
	const header = context.req.header('idempotency-key');
	if (header === undefined) {
		return ok(randomUUID());
	}

	return operationSchema.safeParse(header).success
		? ok(header)
		: err(invalidInput([headerFault('idempotency-key', header, '8 to 64 letters, digits, dashes and underscores')]));
}

function headerFault(field: string, found: string, allowed: string): InputFailure {
	return failure('not-allowed', `found ${JSON.stringify(found.slice(0, 80))}; allowed: ${allowed}`, {field});
}

/**
 * Reads the body as text; fails if it is too large. Bytes are counted while the body is read, because a chunked body declares
 * no length and an endless one would fill the memory. hono's body limit cannot be used: it creates a new Request from the
 * server's lightweight request object, which does not support that.
 */
async function readText(request: Request, bodyBytes: number): Promise<Result<string, Problem>> {
	const isDeclaredTooLarge = Number(request.headers.get('content-length') ?? 0) > bodyBytes;
	const body = isDeclaredTooLarge ? undefined : await readChunks(request.body, bodyBytes);
	return body === undefined
		? err(problem('too-large', `allowed: at most ${bodyBytes} bytes`))
		: ok(body.toString());
}

/** Returns the complete body; undefined if it exceeds `bodyBytes`. */
async function readChunks(body: AsyncIterable<Uint8Array> | null, bodyBytes: number): Promise<Buffer | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body ?? []) {
		size += chunk.byteLength;
		if (size > bodyBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

function parseJson(text: string): Result<unknown, Problem> {
	try {
		return ok(JSON.parse(text));
	} catch (error) {
		return err(invalidInput([failure('not-allowed', `found a body that is not JSON: ${error instanceof Error ? error.message : String(error)}`, {field: 'body'})]));
	}
}
