"""A token count over 64 bits: the other router counts this one as lost, and names it to no caller."""
import asyncio,sys
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from standins.client import *; from standins.fleet import *; from standins.store import *; from standins.worker import *
async def answer(run,w):
    w.write(head_of(run,'Content-Type: text/event-stream','Transfer-Encoding: chunked')+chunk(event(1,'x'))+chunk(b'')); return True
async def main():
    st=Store(); await st.start(); await st.put('op','config',configuration(1))
    w=Worker('i-1','llm-pool',answer); await w.start(); await st.put('servers',w.name,w.entry())
    async with Fleet(2,st.address) as f:
        r=f.routers[0]
        a=attempt_id()
        d=stream_request('/replan/1',a).replace(b'300,120',b'300,99999999999999999999')
        print((await ask(r.front,d,a)).status)
        await asyncio.sleep(4)
        for x in f.routers: print(x.name,[ (l['message'],l.get('lost')) for l in x.log() if 'peers changed' in l['message']])
        rd,wr=await asyncio.open_connection(f.routers[1].ip,8789)
        wr.write(b'GET /api/resolve?name=ficu95.example&region=doto&zone=kitami-hall HTTP/1.1\r\nHost: x\r\n\r\n'); print((await read_reply(rd,'')).body)
        pass
asyncio.run(main())
