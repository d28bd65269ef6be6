import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {GrpcPeerTransport} from './grpc-peer-transport.ts';
import {plainCredentials} from './peer-credentials.ts';
import {QuarantineExchange} from './quarantine-exchange.ts';

describe('QuarantineExchange', () => {
	/*
	 * Guards against a quarantine that is lifted only on the VM that received the operator's request. The other VMs would
	 * refuse the organisation's calls for ten more minutes, although the service has been repaired.
	 */
	it('lifts a quarantine on all VMs, and returns those that could not be reached', async () => {
		const store = new DisposableStore();
		const make = () => {
			const transport = store.add(new GrpcPeerTransport('127.0.0.1:0', plainCredentials(), () => 0));
			const lifted: string[] = [];
			const exchange = store.add(new QuarantineExchange(transport));
			store.add(exchange.onLifted(fingerprint => lifted.push(fingerprint)));
			return {transport, exchange, lifted};
		};

		const [first, second] = [make(), make()];
		await first.transport.listen();
		const port = await second.transport.listen();
		const gone = '127.0.0.1:9';
		const silent = await first.exchange.lift('killer', [`127.0.0.1:${port._unsafeUnwrap()}`, gone]);
		expect({first: first.lifted, second: second.lifted, silent}).toEqual({first: ['killer'], second: ['killer'], silent: [gone]});
		store.dispose();
	});
});
