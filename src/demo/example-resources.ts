/** The declared resources of the examples, brought to this machine: other addresses and data centres. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {
	backendServerSchema, type BackendServer, type Resource, type Service, serviceSchema, type SharingRule, sharingRuleSchema,
} from '../common/model/resources.ts';
import {packageRoot} from '../stand-ins/program-files.ts';

const exampleFileSchema = z.object({
	service: z.array(serviceSchema.omit({kind: true})).default([]),
	'backend-server': z.array(backendServerSchema.omit({kind: true})).default([]),
	'sharing-rule': z.array(sharingRuleSchema.omit({kind: true})).default([]),
});

/** One customer's example. */
export type ExampleResources = {
	readonly services: readonly Service[];
	readonly backendServers: readonly BackendServer[];
	readonly sharingRules: readonly SharingRule[];
};

/** Reads `examples/CUSTOMER/services.toml` and `backend-servers.toml`. */
export function readExample(customer: string): ExampleResources {
	const files = ['services.toml', 'backend-servers.toml'].map(name => {
		const text = readFileSync(join(packageRoot, 'examples', customer, name), 'utf8');
		return exampleFileSchema.parse(parse(text));
	});
	return {
		services: files.flatMap(file => file.service.map(item => ({...item, kind: 'service' as const}))),
		backendServers: files.flatMap(file => file['backend-server'].map(item => ({...item, kind: 'backend-server' as const}))),
		sharingRules: files.flatMap(file => file['sharing-rule'].map(item => ({...item, kind: 'sharing-rule' as const}))),
	};
}

/** The backend server at its port on this machine; the example's data centres map to the demo's by their number. */
export function toLocalBackendServer(server: BackendServer, port: number, dataCentres: readonly string[]): BackendServer {
	const number = Number(/\d+$/v.exec(server.dataCentre)?.[0] ?? 1);
	return {
		...server, address: '127.0.0.1', port, dataCentre: dataCentres[(number - 1) % dataCentres.length]!,
	};
}

/** All resources of a customer as one list. */
export function allResources(example: ExampleResources, backendServers: readonly BackendServer[]): Resource[] {
	return [...example.services, ...example.sharingRules, ...backendServers];
}
