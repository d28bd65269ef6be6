/** Loads the .proto files at run time, so that the build needs no generator. */
import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {type MethodDefinition, type ServiceDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';

/** A method whose messages are checked by its codec, since the loader knows no types. */
export type UntypedMethod = MethodDefinition<object, object>;
export type UntypedService = ServiceDefinition & Readonly<Record<string, UntypedMethod>>;

function isService(definition: unknown): definition is UntypedService {
	return typeof definition === 'object' && definition !== null && !('format' in definition);
}

/** The definition of one service. The files lie beside `src`; the built program runs one folder deeper. */
export function loadService(file: string, service: string): UntypedService {
	const paths = ['../../../proto/', '../../../../proto/'].map(folder => fileURLToPath(new URL(folder + file, import.meta.url)));
	const definitions = loadSync(paths.find(path => existsSync(path)) ?? paths[0]!, {
		longs: Number, enums: String, defaults: true, arrays: true, oneofs: true,
	});
	const definition: unknown = definitions[service];
	assert.ok(isService(definition), `${file} holds no service ${service}`);
	return definition;
}
