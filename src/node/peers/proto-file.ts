/** Loads the .proto files at run time, so that the build needs no code generator. */
import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {type MethodDefinition, type ServiceDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';

/** A method without message types, which the loader does not provide; its codec validates the messages. */
export type UntypedMethod = MethodDefinition<object, object>;
export type UntypedService = ServiceDefinition & Readonly<Record<string, UntypedMethod>>;

function isService(definition: unknown): definition is UntypedService {
	return typeof definition === 'object' && definition !== null && !('format' in definition);
}

/** Returns the definition of one service. The .proto folder is beside `src`; the built program is one folder deeper. */
export function loadService(file: string, service: string): UntypedService {
	const paths = ['../../../proto/', '../../../../proto/'].map(folder => fileURLToPath(new URL(folder + file, import.meta.url)));
	const definitions = loadSync(paths.find(path => existsSync(path)) ?? paths[0]!, {
		longs: Number, enums: String, defaults: true, arrays: true, oneofs: true,
	});
	const definition: unknown = definitions[service];
	assert.ok(isService(definition), `${file} defines no service ${service}`);
	return definition;
}
