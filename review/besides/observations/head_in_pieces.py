"""Proper heads in pieces: size wished, size sent, pieces, status; 431 although the limit is 16,384."""
import asyncio,sys
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from standins.client import *; from standins.fleet import *; from standins.store import *; from standins.worker import *
async def answer(run,w):
    d=b'ok'; w.write(head_of(run,f'Content-Length: {len(d)}')+d); return True
async def main():
    st=Store(); await st.start(); await st.put('op','config',configuration(1))
    w=Worker('i-o1','office-api',answer); await w.start(); await st.put('servers',w.name,w.entry())
    async with Fleet(1,st.address) as f:
        r=f.routers[0]
        for size in (3000,7000,8500,10000,12000,15500):
            for pieces in (1,2,4,8):
                a=attempt_id()
                data=request('GET','/record/7',a,X_Deadline_Ms='2500',Cookie='; '.join('c%d=%s'%(i,'x'*80) for i in range(size//86)))
                rd,wr=await asyncio.open_connection(r.ip,8783)
                n=-(-len(data)//pieces)
                for i in range(0,len(data),n):
                    wr.write(data[i:i+n]); await asyncio.sleep(0.03)
                rep=await read_reply(rd,a); wr.close()
                print(size,len(data),pieces,rep.status)
asyncio.run(main())
