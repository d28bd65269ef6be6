import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {GrpcPeerTransport} from './grpc-peer-transport.ts';
import {plainCredentials} from './peer-credentials.ts';
import {QuarantineExchange} from './quarantine-exchange.ts';

describe('QuarantineExchange', () => {
	/*
	 * A mended service stays closed to one club. Order: an operator lifts the quarantine through one VM, the club's calls come
	 * through another and are refused for ten minutes more. Cause: the word stayed on the VM that was asked.
	 */
	it('lifts on all VMs, and names those that could not be told', async () => {
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
